#include "crashing_fleet.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "base/lookup.h"

namespace papayadrift::jobs {
namespace {

constexpr int64_t kStepMs = 10;
constexpr int64_t kTaskMs = 500;
constexpr int64_t kReportPeriodMs = 300;
// Time from a crash until the agent reports the runner as unreachable.
constexpr int64_t kDetectionMs = 400;
constexpr int64_t kRestartMs = 3000;

}  // namespace

CrashingFleet::CrashingFleet(uint32_t runners) {
  routes_.version = 1;
  Queue queue;
  queue.name = "q";
  queue.service = "s";
  queue.max_failures = 2;
  routes_.queues = {queue};
  routes_.services = {Service{"s", false, false}};
  runners_.resize(runners);
  for (uint32_t i = 0; i < runners; ++i) {
    runners_[i].incarnation = {"node-" + std::to_string(i),
                               "i-" + std::to_string(i), now_ms_};
  }
  ReplaceLeader();
}

Job CrashingFleet::JobOf(uint32_t tasks) {
  Job job;
  job.queue = "q";
  job.steps.resize(1);
  job.steps[0].count = tasks;
  job.steps[0].need = {1000, 100, 0};
  job.steps[0].estimated_ms = kTaskMs;
  return job;
}

void CrashingFleet::AddJob(const JobId& id, Job job) {
  scheduler_->AddJob(id, job);
  jobs_.emplace(id, std::move(job));
}

void CrashingFleet::CrashRunner(uint32_t number) {
  Crash(runners_.at(number));
}

void CrashingFleet::CrashRunnerOf(const TaskKey& task,
                                  const Resources& later_capacity) {
  for (EmulatedRunner& runner : runners_) {
    if (runner.tasks.contains(task)) {
      Crash(runner);
      runner.capacity = later_capacity;
    }
  }
}

void CrashingFleet::SetCapacity(uint32_t number, const Resources& capacity) {
  runners_.at(number).capacity = capacity;
  runners_.at(number).is_report_due = true;
}

void CrashingFleet::ReplaceLeader() {
  scheduler_.emplace(JobSchedulerSettings(), Now(), nullptr);
  scheduler_->SetRoutes(routes_);
  for (const auto& [id, job] : jobs_) {
    scheduler_->AddJob(id, job);
    if (const StoredProgress* stored = FindOrNull(stored_, id)) {
      scheduler_->Restore(id, *stored);
    }
  }
}

void CrashingFleet::RunFor(milliseconds duration) {
  const int64_t end_ms = now_ms_ + duration.count();
  while (now_ms_ < end_ms) {
    Step();
  }
}

JobOutcome CrashingFleet::OutcomeOf(const JobId& id) const {
  const StoredProgress* stored = FindOrNull(stored_, id);
  return stored == nullptr ? JobOutcome::kOpen : stored->outcome;
}

uint32_t CrashingFleet::StartsOf(const TaskKey& task) const {
  const uint32_t* starts = FindOrNull(starts_, task);
  return starts == nullptr ? 0 : *starts;
}

bool CrashingFleet::IsRunning(const TaskKey& task) const {
  return std::ranges::any_of(runners_, [&](const EmulatedRunner& runner) {
    return runner.tasks.contains(task);
  });
}

void CrashingFleet::Step() {
  now_ms_ += kStepMs;
  for (EmulatedRunner& runner : runners_) {
    Progress(runner);
    Report(runner);
  }
  scheduler_->OnJobsViewed(Now());
  scheduler_->Advance(Now(), now_ms_);
  Store();
  for (const auto& [incarnation, orders] : scheduler_->TakeOrders(Now())) {
    const auto runner = std::ranges::find(
        runners_, incarnation.node,
        [](const EmulatedRunner& it) { return it.incarnation.node; });
    for (const Order& order : orders) {
      scheduler_->OnOrderResult(incarnation, order, Execute(*runner, order),
                                Now());
    }
  }
  Store();
}

void CrashingFleet::Progress(EmulatedRunner& runner) {
  if (runner.crashed_ms != 0) {
    if (now_ms_ - runner.crashed_ms >= kRestartMs) {
      runner.incarnation.start_unix_ms = now_ms_;
      runner.earlier_crash = CrashTime{runner.crashed_ms, runner.crashed_ms};
      runner.crashed_ms = 0;
      runner.ends = 0;
      runner.is_report_due = true;
    }
    return;
  }
  const bool has_deadly = std::ranges::any_of(
      runner.tasks | std::views::keys,
      [&](const TaskKey& task) { return deadly_.contains(task); });
  if (has_deadly) {
    Crash(runner);
    return;
  }
  std::erase_if(runner.tasks, [&](const auto& item) {
    const auto& [key, task] = item;
    if (task.is_long_running || now_ms_ - task.started_ms < kTaskMs) {
      return false;
    }
    runner.ended.push_back({++runner.ends, key, task.run, RunEnd::kDone, {}});
    runner.is_report_due = true;
    return true;
  });
}

void CrashingFleet::Crash(EmulatedRunner& runner) {
  if (runner.crashed_ms != 0) {
    return;
  }
  ++crashes_;
  for (const TaskKey& task : runner.tasks | std::views::keys) {
    BreakGang(runner, task);
  }
  runner.tasks.clear();
  runner.ended.clear();
  runner.crashed_ms = now_ms_;
  runner.is_crash_reported = false;
}

void CrashingFleet::BreakGang(const EmulatedRunner& crashed,
                              const TaskKey& task) {
  if (!jobs_.at(task.job).steps[task.step].is_gang) {
    return;
  }
  for (EmulatedRunner& runner : runners_) {
    if (&runner == &crashed) {
      continue;
    }
    std::erase_if(runner.tasks, [&](const auto& item) {
      const auto& [key, member] = item;
      if (StepOf(key) != StepOf(task)) {
        return false;
      }
      runner.ended.push_back(
          {++runner.ends, key, member.run, RunEnd::kBroken, {}});
      runner.is_report_due = true;
      return true;
    });
  }
}

void CrashingFleet::Report(EmulatedRunner& runner) {
  RunnerReport report;
  report.incarnation = runner.incarnation;
  report.agent_address = "agent";
  report.service = "s";
  report.capacity = runner.capacity;
  report.sent_at_ms = now_ms_;
  if (runner.crashed_ms != 0) {
    if (runner.is_crash_reported ||
        now_ms_ - runner.crashed_ms < kDetectionMs) {
      return;
    }
    runner.is_crash_reported = true;
    report.is_unreachable = true;
    report.crash = CrashTime{runner.crashed_ms, runner.crashed_ms};
    scheduler_->OnReport(report, Now());
    return;
  }
  if (!runner.is_report_due && now_ms_ - runner.reported_ms < kReportPeriodMs) {
    return;
  }
  runner.is_report_due = false;
  runner.reported_ms = now_ms_;
  report.listed_at_ms = now_ms_;
  report.earlier_crash = runner.earlier_crash;
  for (const auto& [key, task] : runner.tasks) {
    const auto percent = task.is_long_running
                             ? 100
                             : static_cast<uint32_t>(
                                   (now_ms_ - task.started_ms) * 100 / kTaskMs);
    report.active.push_back({key, task.run, {}, percent, 1});
  }
  report.ended = runner.ended;
  scheduler_->OnReport(report, Now());
  Store();
  scheduler_->OnLeaseGranted(runner.incarnation,
                             Now() + JobSchedulerSettings().lease);
  const uint64_t recorded = scheduler_->RecordedEnds(runner.incarnation);
  std::erase_if(runner.ended, [&](const EndedRun& ended) {
    return ended.number <= recorded;
  });
}

void CrashingFleet::Store() {
  const JobScheduler::Changes changes = scheduler_->TakeChanges();
  for (const auto& [id, outcome] : changes.outcomes) {
    stored_[id].outcome = outcome.outcome;
    stored_[id].first_occurrence = outcome.first_occurrence;
  }
  for (const auto& [key, task] : changes.tasks) {
    if (task) {
      stored_[key.job].tasks[key] = *task;
    } else {
      stored_[key.job].tasks.erase(key);
    }
  }
  scheduler_->OnStored(changes.version);
}

OrderResult CrashingFleet::Execute(EmulatedRunner& runner, const Order& order) {
  if (runner.crashed_ms != 0) {
    // An order on a connection from before the crash breaks it.
    return {OrderVerdict::kUnanswered, now_ms_};
  }
  if (const auto* stop = std::get_if<StopOrder>(&order)) {
    if (const auto task = runner.tasks.extract(stop->task)) {
      runner.ended.push_back(
          {++runner.ends, stop->task, stop->run, RunEnd::kStopped, {}});
      runner.is_report_due = true;
    }
    return {OrderVerdict::kDone, now_ms_};
  }
  const auto* start = std::get_if<StartOrder>(&order);
  if (start == nullptr || runner.tasks.contains(start->task)) {
    return {OrderVerdict::kDone, now_ms_};
  }
  const jobs::Step& step = jobs_.at(start->task.job).steps[start->task.step];
  ++starts_[start->task];
  runner.tasks[start->task] = {start->run, now_ms_, step.need,
                               step.is_long_running};
  Resources used;
  for (const Task& task : runner.tasks | std::views::values) {
    used = used + task.need;
  }
  overbookings_ += FitsIn(used, runner.capacity) ? 0 : 1;
  return {OrderVerdict::kDone, now_ms_};
}

}  // namespace papayadrift::jobs
