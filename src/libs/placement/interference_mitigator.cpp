#include <algorithm>
#include <map>
#include <set>
#include <tuple>

#include "placement/interference_mitigator_p.h"
#include "placement/scorer_p.h"

namespace papayadrift::placement {

namespace {

constexpr double kThrottledPart = 0.5;
constexpr int64_t kLeastMillicores = 100;
// Mitigation starts above kMitigateAbove times the limit for placements and is
// reverted below kRecoverBelow times it. The gap prevents oscillation.
constexpr double kMitigateAbove = 1.15;
constexpr double kRecoverBelow = 0.85;
// Minimum added pressure for a kind to count as an antagonist.
constexpr double kLeastHarm = 0.03;
// Minimum harm, relative to the most harmful kind, for a task to be moved
// instead of that kind's.
constexpr double kLeastHarmToMove = 0.5;
constexpr size_t kJobsTried = 4;
constexpr double kSecondsPerHour = 3600;
constexpr double kMicrosecondsPerSecond = 1e6;

double SecondsBetween(Instant from, Instant until) {
  return static_cast<double>((until - from).count()) / kMicrosecondsPerSecond;
}

}  // namespace

InterferenceMitigator::InterferenceMitigator(SchedulerCore& core,
                                             CapacityHolds& holds)
    : core_(core), holds_(holds), chooser_(core) {}

void InterferenceMitigator::OnReport(const LatencyReported& report) {
  WorkerState* worker = core_.fleet.Find(report.worker);
  if (worker == nullptr) {
    return;
  }
  const auto runner =
      std::ranges::find(worker->runners, report.service, &RunnerState::service);
  if (runner == worker->runners.end()) {
    return;
  }
  Learn(*worker, *runner, report);
  if (!core_.settings.has_mitigation || runner->measured <= 0 ||
      report.measured_until != runner->measured_at) {
    return;
  }
  CountReport(*runner);
  if (runner->reports_above >= core_.settings.reports_before_mitigation) {
    Mitigate(*worker, *runner);
  } else if (runner->reports_below >= core_.settings.reports_before_recovery) {
    Recover(*worker, *runner);
  }
}

void InterferenceMitigator::Learn(WorkerState& worker,
                                  RunnerState& runner,
                                  const LatencyReported& report) {
  const double target = core_.policy.of(report.service).p99_target_microseconds;
  const double span =
      SecondsBetween(report.measured_from, report.measured_until);
  if (target <= 0 || span <= 0 || report.requests < 0 ||
      report.measured_until > core_.now) {
    return;
  }
  const double rate = static_cast<double>(report.requests) / span;
  const double load = core_.policy.RecordRate(report.service, rate);
  const double pressure = static_cast<double>(report.p99.count()) / target;
  const auto loads =
      worker.history.Between(report.measured_from, report.measured_until);
  if (loads && report.requests > 0) {
    core_.interference.Observe(report.service, load, *loads, pressure);
  }
  if (report.measured_until > runner.measured_at) {
    runner.measured_at = report.measured_until;
    runner.measured = report.requests > 0 ? pressure : 0;
    runner.load = load;
  }
}

void InterferenceMitigator::CountReport(RunnerState& runner) const {
  const double limit = Scorer::Limit(core_.policy.of(runner.service));
  const bool is_above = runner.measured > kMitigateAbove * limit;
  const bool is_below = runner.measured < kRecoverBelow * limit;
  runner.reports_above = is_above ? runner.reports_above + 1 : 0;
  runner.reports_below = is_below ? runner.reports_below + 1 : 0;
}

void InterferenceMitigator::Mitigate(WorkerState& worker, RunnerState& runner) {
  if (core_.now < runner.next_mitigation_at) {
    return;
  }
  const auto antagonists = FindAntagonists(worker, runner);
  if (antagonists.empty()) {
    return;
  }
  if (Throttle(antagonists) || StopOne(antagonists)) {
    runner.next_mitigation_at = core_.now + core_.settings.mitigation_interval;
  }
}

void InterferenceMitigator::Recover(WorkerState& worker, RunnerState& runner) {
  const auto it = std::ranges::find_if(worker.tasks, [](auto* task) {
    return task->is_throttled && task->phase == TaskPhase::kRunning &&
           task->wanted == task->grant;
  });
  if (it == worker.tasks.end() || core_.now < runner.next_mitigation_at) {
    return;
  }
  TaskState& task = **it;
  const Resources full = core_.GrantFor(*task.job);
  Resources raised = task.grant;
  raised.millicores = std::min(
      full.millicores, task.grant.millicores + worker.Free().millicores);
  task.is_throttled = false;
  if (raised.millicores > task.grant.millicores) {
    core_.RequestGrant(task, raised, GrantReason::kServiceRecovered);
  }
  runner.next_mitigation_at = core_.now + core_.settings.mitigation_interval;
}

std::vector<InterferenceMitigator::Antagonist>
InterferenceMitigator::FindAntagonists(const WorkerState& worker,
                                       const RunnerState& runner) const {
  const KindLoads loads = worker.history.current();
  const double all = core_.Expect(runner, loads).mean;
  std::map<KindNumber, double> harm;
  for (size_t i = 0; i < loads.size(); ++i) {
    KindLoads others = loads;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
    harm[loads[i].kind] = all - core_.Expect(runner, others).mean;
  }
  // Without interference data all tasks count as antagonists.
  const bool is_interference_unknown = all <= 0;
  std::vector<Antagonist> antagonists;
  for (TaskState* task : worker.tasks) {
    const double of_kind = harm[task->job->shape.kind];
    if (task->phase == TaskPhase::kRunning && !task->job->is_urgent &&
        (is_interference_unknown || of_kind > kLeastHarm)) {
      antagonists.push_back({task, of_kind});
    }
  }
  std::ranges::stable_sort(antagonists, {}, [this](const Antagonist& it) {
    return std::tuple(-it.harm, core_.LostWork(*it.task));
  });
  return antagonists;
}

bool InterferenceMitigator::Throttle(
    const std::vector<Antagonist>& antagonists) {
  const KindNumber worst = antagonists.front().task->job->shape.kind;
  bool has_throttled = false;
  for (const Antagonist& antagonist : antagonists) {
    TaskState* task = antagonist.task;
    if (task->job->shape.kind != worst || task->is_throttled ||
        task->wanted != task->grant ||
        task->grant.millicores < 2 * kLeastMillicores) {
      continue;
    }
    Resources lower = task->grant;
    lower.millicores = static_cast<int64_t>(
        kThrottledPart * std::min(static_cast<double>(lower.millicores),
                                  core_.BusyMillicores(*task)));
    lower.millicores = std::max(lower.millicores, kLeastMillicores);
    task->is_throttled = true;
    task->has_full_grant = false;
    ++core_.counters.throttles;
    core_.RequestGrant(*task, lower, GrantReason::kServiceAboveTarget);
    has_throttled = true;
  }
  return has_throttled;
}

bool InterferenceMitigator::StopOne(
    const std::vector<Antagonist>& antagonists) {
  if (!TakeFromBudget()) {
    return false;
  }
  if (!MoveOne(antagonists)) {
    core_.Evict(*antagonists.front().task, EvictionReason::kServiceAboveTarget);
  }
  return true;
}

bool InterferenceMitigator::MoveOne(
    const std::vector<Antagonist>& antagonists) {
  const double least = kLeastHarmToMove * antagonists.front().harm;
  std::set<const JobState*> tried;
  for (const Antagonist& antagonist : antagonists) {
    TaskState& task = *antagonist.task;
    JobState& job = *task.job;
    if (!job.is_checkpointable || antagonist.harm < least ||
        tried.size() >= kJobsTried || !tried.insert(&job).second) {
      continue;
    }
    const Resources grant = core_.GrantFor(job);
    const WorkerChoice choice = chooser_.Choose(job, grant, task.worker);
    if (choice.worker == nullptr) {
      continue;
    }
    core_.Evict(task, EvictionReason::kServiceAboveTarget, choice.worker->id);
    holds_.AddForMove(task, *choice.worker, grant,
                      core_.now + core_.settings.move_timeout);
    ++core_.counters.moves;
    return true;
  }
  return false;
}

bool InterferenceMitigator::TakeFromBudget() {
  const double most = MostEvictionsPerHour();
  if (most <= 0) {
    return false;
  }
  budget_ += most * SecondsBetween(budget_at_, core_.now) / kSecondsPerHour;
  budget_ = std::min(budget_, std::max(1.0, most / 4));
  budget_at_ = core_.now;
  if (budget_ < 1) {
    return false;
  }
  budget_ -= 1;
  return true;
}

double InterferenceMitigator::MostEvictionsPerHour() const {
  const auto own = static_cast<double>(core_.fleet.CountAssigned());
  const auto all = static_cast<double>(std::max<size_t>(1, core_.fleet.up()));
  return std::min(std::max(1.0, core_.settings.evictions_per_worker_hour * own),
                  core_.policy.limits().evictions_per_hour * own / all);
}

}  // namespace papayadrift::placement
