#include <algorithm>
#include <cmath>
#include <utility>

#include "placement/scheduler_core_p.h"

namespace papayadrift::placement {

namespace {

constexpr microseconds kExpectationPeriod = seconds(2);
constexpr int64_t kLeastMillicores = 50;
constexpr int64_t kLeastMebibytes = 32;
constexpr double kMaximumPressure = 20.0;

Resources Larger(const Resources& left, const Resources& right) {
  return {std::max(left.millicores, right.millicores),
          std::max(left.memory_mebibytes, right.memory_mebibytes),
          std::max(left.accelerators, right.accelerators)};
}

uint64_t& CounterOf(Counters& counters, EvictionReason reason) {
  switch (reason) {
    case EvictionReason::kServiceAboveTarget:
      return counters.evictions_for_services;
    case EvictionReason::kUrgentWork:
      return counters.evictions_for_urgent;
    case EvictionReason::kQuotaReclaimed:
      return counters.evictions_for_quota;
    case EvictionReason::kRunnerNeedsCapacity:
      return counters.evictions_for_runners;
    case EvictionReason::kJobCancelled:
    case EvictionReason::kJobRefused:
      break;
  }
  return counters.stops_of_closed_jobs;
}

void AddLoad(KindLoads& loads, KindNumber kind, double share) {
  const auto it = std::ranges::find(loads, kind, &KindLoad::kind);
  if (it == loads.end()) {
    loads.push_back({kind, share});
  } else {
    it->share += share;
  }
}

}  // namespace

SchedulerCore::SchedulerCore(const Settings& settings,
                             UsageModel& usage,
                             InterferenceModel& interference)
    : settings(settings),
      usage(usage),
      interference(interference),
      fleet(settings.seed) {}

void SchedulerCore::ProposeClaim(JobState& job,
                                 WorkerState& worker,
                                 const Resources& grant,
                                 const Placed& why,
                                 std::optional<uint32_t> index) {
  TaskState& task =
      index ? jobs.GetOrAddTask(job, *index) : jobs.TakePending(job);
  const Attempt attempt = task.attempt.Next();
  AttachAttempt(task, worker, attempt, grant);
  task.phase = TaskPhase::kClaiming;
  task.is_in_flight = true;
  task.is_probe = why.reason == PlacementReason::kProbe;
  task.decision = why;
  ++worker.claims_in_flight;
  ++counters.claims;
  job.unplaced_since = Instant::max();
  actions.emplace_back(Claim{IdOf(task), attempt, worker.id, worker.incarnation,
                             grant, task.checkpoint, why.reason});
  Requeue(job);
}

void SchedulerCore::AttachAttempt(TaskState& task,
                                  WorkerState& worker,
                                  Attempt attempt,
                                  const Resources& grant) {
  if (IsLive(task)) {
    Detach(task);
  }
  task.job->retry_indexes.erase(task.index);
  task.attempt = attempt;
  task.phase = TaskPhase::kClaimed;
  task.grant = grant;
  task.wanted = grant;
  task.claimed_at = now;
  task.started_at = now;
  task.next_grant_change_at = now + settings.grant_change_interval;
  task.used_millicores = 0;
  task.is_throttled = false;
  task.is_probe = false;
  task.has_full_grant = true;
  fleet.Attach(worker, task, grant);
  SeparationRules::Count(task);
  teams.AddUse(task.job->team, grant);
  RecordChange(worker);
  Requeue(*task.job);
}

void SchedulerCore::EndAttempt(TaskState& task) {
  Detach(task);
  jobs.ReturnToPending(task);
  Requeue(*task.job);
}

void SchedulerCore::FinishTask(TaskState& task) {
  JobState& job = *task.job;
  if (IsLive(task)) {
    Detach(task);
  }
  jobs.Finish(task);
  Requeue(job);
  jobs.RemoveIfDone(job);
}

void SchedulerCore::ResolveClaim(TaskState& task) {
  if (task.is_in_flight) {
    task.is_in_flight = false;
    --task.worker->claims_in_flight;
  }
}

void SchedulerCore::RequestGrant(TaskState& task,
                                 const Resources& grant,
                                 GrantReason reason) {
  if (task.wanted != task.grant) {
    return;
  }
  const Resources counted = Larger(task.committed, grant);
  task.wanted = grant;
  teams.AddUse(task.job->team, counted - task.committed);
  fleet.Recommit(task, counted);
  task.next_grant_change_at = now + settings.grant_change_interval;
  ++(FitsIn(grant, task.grant) ? counters.grants_lowered
                               : counters.grants_raised);
  task.decision = GrantAdjusted{reason, task.worker->id, grant};
  actions.emplace_back(
      ChangeGrant{IdOf(task), task.attempt, task.worker->id, grant, reason});
}

void SchedulerCore::SettleGrant(TaskState& task, bool is_confirmed) {
  if (is_confirmed) {
    task.grant = task.wanted;
  }
  task.wanted = task.grant;
  teams.SubtractUse(task.job->team, task.committed - task.grant);
  fleet.Recommit(task, task.grant);
  RecordChange(*task.worker);
}

void SchedulerCore::ApplyGrant(TaskState& task, const Resources& grant) {
  if (task.wanted == task.grant) {
    task.wanted = grant;
  }
  task.grant = grant;
  const Resources counted = Larger(task.grant, task.wanted);
  teams.AddUse(task.job->team, counted);
  teams.SubtractUse(task.job->team, task.committed);
  fleet.Recommit(task, counted);
  RecordChange(*task.worker);
}

void SchedulerCore::Evict(TaskState& task,
                          EvictionReason reason,
                          const WorkerId& moves_to) {
  if (task.phase == TaskPhase::kStopping || !IsLive(task)) {
    return;
  }
  task.phase = TaskPhase::kStopping;
  task.decision = Evicted{reason, task.worker->id, LostWork(task), moves_to};
  ++CounterOf(counters, reason);
  actions.emplace_back(
      placement::Evict{IdOf(task), task.attempt, task.worker->id, reason});
}

void SchedulerCore::CloseJob(JobState& job,
                             const Decision& why,
                             EvictionReason reason) {
  job.is_closed = true;
  teams.Dequeue(job);
  std::vector<TaskState*> waiting;
  for (uint32_t i = 0; i < job.was_claimed.size(); ++i) {
    TaskState* task = jobs.Find(TaskId{job.id, i});
    if (task == nullptr) {
      continue;
    }
    if (IsLive(*task)) {
      Evict(*task, reason);
      task->decision = why;
    } else {
      waiting.push_back(task);
    }
  }
  for (TaskState* task : waiting) {
    jobs.Finish(*task);
  }
  jobs.RemoveIfDone(job);
}

void SchedulerCore::Requeue(JobState& job) {
  if (job.has_pending()) {
    teams.Enqueue(job);
  } else {
    teams.Dequeue(job);
  }
}

void SchedulerCore::RecordLoads(WorkerState& worker) {
  worker.history.Record(now, LoadsOf(worker));
}

void SchedulerCore::RecordChange(WorkerState& worker) {
  RecordLoads(worker);
  for (RunnerState& runner : worker.runners) {
    runner.expected_until = now;
  }
}

KindNumber SchedulerCore::NumberOf(const KindId& kind) {
  const auto next = static_cast<KindNumber>(kinds_.size());
  const auto [it, is_new] = numbers_.try_emplace(kind, next);
  if (is_new) {
    kinds_.push_back(kind);
    usage.Introduce(next, kind);
    interference.Introduce(next, kind);
  }
  return it->second;
}

Resources SchedulerCore::GrantFor(const JobState& job) const {
  Resources grant = usage.GrantFor(job.shape);
  grant.millicores = std::max(grant.millicores, kLeastMillicores);
  grant.memory_mebibytes = std::max(grant.memory_mebibytes, kLeastMebibytes);
  grant.accelerators = job.shape.declared.accelerators;
  return grant;
}

double SchedulerCore::ExpectedMillicores(const JobState& job) const {
  const double expected = usage.ExpectedMillicores(job.shape);
  return std::isfinite(expected) ? std::max(0.0, expected) : 0.0;
}

Pressure SchedulerCore::Expect(const RunnerState& runner,
                               const KindLoads& loads) const {
  const Pressure expected =
      interference.Expect(runner.service, LoadOf(runner), loads);
  if (!std::isfinite(expected.mean) || !std::isfinite(expected.deviation)) {
    return {1.0, 0.0};
  }
  return {std::clamp(expected.mean, 0.0, kMaximumPressure),
          std::clamp(expected.deviation, 0.0, kMaximumPressure)};
}

double SchedulerCore::LoadOf(const RunnerState& runner) const {
  const bool is_unknown = runner.measured_at == Instant() &&
                          now < runner.first_report_by &&
                          known_services.contains(runner.service);
  return is_unknown ? 1.0 : runner.load;
}

Pressure SchedulerCore::ExpectNow(const WorkerState& worker,
                                  RunnerState& runner) const {
  if (now >= runner.expected_until) {
    runner.expected = Expect(runner, worker.history.current());
    runner.expected_until = now + kExpectationPeriod;
  }
  return runner.expected;
}

microseconds SchedulerCore::LostWork(const TaskState& task) const {
  if (task.job->is_checkpointable) {
    return microseconds(0);
  }
  return now - task.started_at;
}

double SchedulerCore::BusyMillicores(const TaskState& task) const {
  const double expected = task.used_millicores > 0
                              ? task.used_millicores
                              : ExpectedMillicores(*task.job);
  return std::min(expected, static_cast<double>(task.grant.millicores));
}

KindLoads SchedulerCore::LoadsOf(const WorkerState& worker) const {
  KindLoads loads;
  const double whole =
      std::max(1.0, static_cast<double>(worker.capacity.millicores));
  for (const TaskState* task : worker.tasks) {
    AddLoad(loads, task->job->shape.kind, BusyMillicores(*task) / whole);
  }
  return loads;
}

void SchedulerCore::Detach(TaskState& task) {
  WorkerState& worker = *task.worker;
  ResolveClaim(task);
  teams.SubtractUse(task.job->team, task.committed);
  SeparationRules::Discount(task);
  fleet.Detach(task);
  RecordChange(worker);
}

bool IsLive(const TaskState& task) {
  return task.worker != nullptr;
}

TaskId IdOf(const TaskState& task) {
  return {task.job->id, task.index};
}

}  // namespace papayadrift::placement
