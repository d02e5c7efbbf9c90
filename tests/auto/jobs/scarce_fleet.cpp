#include "scarce_fleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <ranges>
#include <utility>
#include <variant>

namespace papayadrift::jobs {
namespace {

constexpr milliseconds kStep(20);
constexpr milliseconds kReportPeriod(200);
constexpr milliseconds kLease(6000);

JobId IdOf(size_t job) {
  return JobId("job-" + std::to_string(job));
}

}  // namespace

ScarceFleet::ScarceFleet(const JobSchedulerSettings& settings,
                         std::vector<WorkKind> kinds,
                         uint32_t runners,
                         const Resources& capacity)
    : settings_(settings), kinds_(std::move(kinds)) {
  routes_.version = 1;
  routes_.services = {Service{"s", false, false}};
  for (const WorkKind& kind : kinds_) {
    Queue queue;
    queue.name = kind.name;
    queue.service = "s";
    queue.priority = kind.priority;
    queue.max_failures = 3;
    queue.target_factor = 3;
    queue.target_extra_ms = 500;
    routes_.queues.push_back(queue);
  }
  for (uint32_t i = 0; i < runners; ++i) {
    EmulatedRunner runner;
    runner.incarnation = {"node-" + std::to_string(100 + i), "i", 1};
    runner.capacity = capacity;
    // Reports of different runners come at different times.
    runner.reported_at = now_ - kReportPeriod + kStep * (i % 10);
    runners_.push_back(runner);
  }
  MakeScheduler();
  for (EmulatedRunner& runner : runners_) {
    Report(runner);
  }
}

void ScarceFleet::MakeScheduler() {
  scheduler_ = std::make_unique<JobScheduler>(
      settings_, now_,
      [this](const JobSchedulerEvent& event) { events_.push_back(event); });
  scheduler_->SetRoutes(routes_);
  scheduler_->OnJobsViewed(now_);
}

void ScarceFleet::ChangeLeader() {
  MakeScheduler();
  for (const auto& [id, job] : submitted_) {
    scheduler_->AddJob(id, job);
    scheduler_->Restore(id, stored_[id]);
  }
}

int64_t ScarceFleet::NowMs() const {
  return std::chrono::floor<milliseconds>(now_).time_since_epoch().count();
}

uint32_t ScarceFleet::Submit(const std::string& kind, uint32_t tasks) {
  const WorkKind& it = *std::ranges::find(kinds_, kind, &WorkKind::name);
  Job job;
  job.queue = kind;
  job.accepted_ms = NowMs();
  job.steps.resize(1);
  jobs::Step& step = job.steps[0];
  step.count = tasks;
  step.need = it.need;
  step.estimated_ms = it.estimated_ms;
  step.is_filler = it.is_filler;
  step.is_long_running = it.duration_ms == 0;
  step.image = kind;
  const JobId id = IdOf(jobs_.size());
  scheduler_->AddJob(id, job);
  submitted_.emplace(id, job);
  jobs_.push_back({&it, tasks, now_, {}});
  return static_cast<uint32_t>(jobs_.size() - 1);
}

void ScarceFleet::EndRuns(EmulatedRunner& runner) {
  for (auto it = runner.runs.begin(); it != runner.runs.end();) {
    const auto& [task, run] = *it;
    const milliseconds duration(run.kind->duration_ms);
    if (duration > milliseconds(0) && now_ - run.started_at >= duration) {
      runner.ended.push_back(
          {++runner.ends, task, run.number, RunEnd::kDone, ""});
      it = runner.runs.erase(it);
    } else {
      ++it;
    }
  }
}

void ScarceFleet::Report(EmulatedRunner& runner) {
  runner.reported_at = now_;
  const uint64_t recorded = scheduler_->RecordedEnds(runner.incarnation);
  std::erase_if(runner.ended, [recorded](const EndedRun& it) {
    return it.number <= recorded;
  });
  RunnerReport report;
  report.incarnation = runner.incarnation;
  report.service = "s";
  report.state = runner.state;
  report.capacity = runner.capacity;
  report.sent_at_ms = NowMs();
  report.listed_at_ms = NowMs();
  for (const auto& [task, run] : runner.runs) {
    constexpr int64_t kWhole = 100;
    const auto elapsed_ms =
        std::chrono::floor<milliseconds>(now_ - run.started_at).count();
    const int64_t percent =
        run.kind->duration_ms == 0
            ? 0
            : std::min(kWhole, elapsed_ms * kWhole / run.kind->duration_ms);
    report.active.push_back(
        {task, run.number, "", static_cast<uint32_t>(percent), 0});
  }
  report.ended = runner.ended;
  scheduler_->OnReport(report, now_);
  if (scheduler_->MayLease(runner.incarnation, now_)) {
    scheduler_->OnLeaseGranted(runner.incarnation, now_ + kLease);
  }
}

void ScarceFleet::Execute(const RunnerIncarnation& incarnation,
                          const Order& order) {
  EmulatedRunner& runner =
      *std::ranges::find(runners_, incarnation, &EmulatedRunner::incarnation);
  if (runner.is_lost) {
    scheduler_->OnOrderResult(incarnation, order,
                              {OrderVerdict::kUnanswered, 0}, now_);
    return;
  }
  if (const auto* start = std::get_if<StartOrder>(&order)) {
    const auto index =
        static_cast<size_t>(std::stoul(start->task.job.text().substr(4)));
    SubmittedJob& job = jobs_[index];
    runner.runs[start->task] = {start->run, now_, job.kind};
    job.started_at.try_emplace(start->task, now_);
    Resources used;
    for (const EmulatedRun& run : runner.runs | std::views::values) {
      Resources need = run.kind->need;
      need.millicores = run.kind->is_filler ? 0 : need.millicores;
      used = used + need;
    }
    EXPECT_TRUE(FitsIn(used, runner.capacity)) << incarnation.node;
  } else if (const auto* stop = std::get_if<StopOrder>(&order)) {
    runner.runs.erase(stop->task);
  }
  scheduler_->OnOrderResult(incarnation, order, {OrderVerdict::kDone, NowMs()},
                            now_);
}

void ScarceFleet::Decide() {
  scheduler_->OnJobsViewed(now_);
  do {
    scheduler_->Advance(now_, NowMs());
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
    for (const auto& [incarnation, orders] : scheduler_->TakeOrders(now_)) {
      for (const Order& order : orders) {
        Execute(incarnation, order);
      }
    }
  } while (scheduler_->has_more_to_place());
}

void ScarceFleet::Step() {
  now_ += kStep;
  for (EmulatedRunner& runner : runners_) {
    EndRuns(runner);
    if (!runner.is_lost && now_ - runner.reported_at >= kReportPeriod) {
      Report(runner);
    }
  }
  Decide();
}

std::optional<milliseconds> ScarceFleet::StartedAfter(uint32_t job) const {
  const SubmittedJob& it = jobs_[job];
  if (it.started_at.size() < it.tasks) {
    return std::nullopt;
  }
  const Instant last = std::ranges::max(it.started_at | std::views::values);
  return std::chrono::floor<milliseconds>(last - it.submitted_at);
}

milliseconds ScarceFleet::LongestWait(const std::string& kind) const {
  milliseconds longest(0);
  for (uint32_t i = 0; i < jobs_.size(); ++i) {
    if (jobs_[i].kind->name == kind) {
      longest = std::max(
          longest, StartedAfter(i).value_or(std::chrono::floor<milliseconds>(
                       now_ - jobs_[i].submitted_at)));
    }
  }
  return longest;
}

std::optional<uint32_t> ScarceFleet::ReservedRunner() const {
  for (uint32_t i = 0; i < runners_.size(); ++i) {
    const Runner* runner = scheduler_->fleet().Find(runners_[i].incarnation);
    if (runner != nullptr && runner->capacity_reservation) {
      return i;
    }
  }
  return std::nullopt;
}

size_t ScarceFleet::ReservedRunners() const {
  return static_cast<size_t>(std::ranges::count_if(
      scheduler_->fleet().runners() | std::views::values,
      [](const Runner& it) { return it.capacity_reservation.has_value(); }));
}

size_t ScarceFleet::RunningTasks(uint32_t job) const {
  size_t count = 0;
  for (const EmulatedRunner& runner : runners_) {
    count += runner.is_lost
                 ? 0
                 : static_cast<size_t>(std::ranges::count_if(
                       runner.runs | std::views::keys,
                       [&](const TaskKey& it) { return it.job == IdOf(job); }));
  }
  return count;
}

}  // namespace papayadrift::jobs
