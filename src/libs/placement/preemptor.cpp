#include <algorithm>

#include "placement/preemptor_p.h"

namespace papayadrift::placement {

namespace {

// Fraction of its processors that a throttled task keeps.
constexpr double kThrottledPart = 0.5;
// Cost of a throttle, in seconds of lost work.
constexpr double kThrottleCost = 0.5;
// Cost of any eviction, in seconds of lost work, for the checkpoint and the
// restart.
constexpr double kStopCost = 20.0;
constexpr double kMicrosecondsPerSecond = 1e6;

Resources Shortage(const Resources& need, const Resources& free) {
  return {std::max<int64_t>(0, need.millicores - free.millicores),
          std::max<int64_t>(0, need.memory_mebibytes - free.memory_mebibytes),
          std::max<int64_t>(0, need.accelerators - free.accelerators)};
}

int64_t ThrottledMillicores(const TaskState& task) {
  return task.grant.millicores -
         static_cast<int64_t>(kThrottledPart *
                              static_cast<double>(task.grant.millicores));
}

// Capacity that pending stops and grant reductions will free.
Resources CapacityBeingReleased(const WorkerState& worker) {
  Resources released;
  for (const TaskState* task : worker.tasks) {
    const bool is_stopping = task->phase == TaskPhase::kStopping;
    released =
        released + task->committed - (is_stopping ? Resources() : task->wanted);
  }
  return released;
}

}  // namespace

Preemptor::Preemptor(SchedulerCore& core, CapacityHolds& holds)
    : core_(core), holds_(holds) {}

bool Preemptor::Preempt(JobState& job, const Resources& grant) {
  const auto reason = AllowedReason(job, grant);
  if (!reason) {
    return false;
  }
  std::optional<Plan> best;
  for (WorkerState* worker : holds_.Candidates(job, grant)) {
    auto plan = PlanFor(*worker, grant, *reason);
    if (plan && (!best || plan->cost < best->cost)) {
      best = std::move(plan);
    }
  }
  if (!best) {
    return false;
  }
  Execute(*best, job, grant, *reason);
  return true;
}

std::optional<EvictionReason> Preemptor::AllowedReason(
    const JobState& job,
    const Resources& grant) const {
  const size_t pending =
      job.retry_indexes.size() + job.was_claimed.size() - job.next_unclaimed;
  if (holds_.size() >= core_.settings.maximum_holds || job.holds >= pending ||
      core_.settings.rule == PlacementRule::kTightestFit ||
      !core_.teams.IsWithinQuota(job.team, grant)) {
    return std::nullopt;
  }
  if (job.is_urgent) {
    return EvictionReason::kUrgentWork;
  }
  const bool lacks_capacity =
      job.wait_state.reason == WaitReason::kNoWorkerFits ||
      job.wait_state.reason == WaitReason::kDomainsFull ||
      job.wait_state.reason == WaitReason::kKindsApart;
  const bool has_waited =
      lacks_capacity &&
      core_.now >= job.wait_state.since + core_.settings.reclaim_pause;
  return has_waited ? std::optional(EvictionReason::kQuotaReclaimed)
                    : std::nullopt;
}

std::optional<Preemptor::Plan> Preemptor::PlanFor(WorkerState& worker,
                                                  const Resources& grant,
                                                  EvictionReason reason) {
  const Resources most = worker.capacity - worker.reserved - worker.held;
  if (!worker.IsClaimable(core_.now) || !FitsIn(grant, most)) {
    return std::nullopt;
  }
  Plan plan;
  plan.worker = &worker;
  const Resources missing =
      Shortage(grant, worker.Free() + CapacityBeingReleased(worker));
  if (missing == Resources()) {
    return plan;
  }
  if (reason == EvictionReason::kUrgentWork && PlanThrottles(plan, missing)) {
    return plan;
  }
  if (PlanEvictions(plan, missing, reason)) {
    return plan;
  }
  return std::nullopt;
}

bool Preemptor::PlanThrottles(Plan& plan, const Resources& missing) const {
  if (missing.memory_mebibytes > 0 || missing.accelerators > 0) {
    return false;
  }
  std::vector<TaskState*> candidates;
  std::ranges::copy_if(
      plan.worker->tasks, std::back_inserter(candidates), [this](auto* task) {
        return task->phase == TaskPhase::kRunning && !task->is_throttled &&
               task->wanted == task->grant &&
               IsPreemptible(*task, EvictionReason::kUrgentWork);
      });
  std::ranges::sort(
      candidates, std::ranges::greater(),
      [](const TaskState* task) { return ThrottledMillicores(*task); });
  int64_t left = missing.millicores;
  for (TaskState* task : candidates) {
    if (left <= 0) {
      break;
    }
    left -= ThrottledMillicores(*task);
    plan.throttled.push_back(task);
    plan.cost += kThrottleCost;
  }
  if (left > 0) {
    plan.throttled.clear();
    plan.cost = 0;
  }
  return left <= 0;
}

bool Preemptor::PlanEvictions(Plan& plan,
                              const Resources& missing,
                              EvictionReason reason) {
  std::vector<TaskState*> victims;
  std::ranges::copy_if(
      plan.worker->tasks, std::back_inserter(victims),
      [&](auto* task) { return IsPreemptible(*task, reason); });
  core_.counters.victims_examined += victims.size();
  std::ranges::sort(victims, {}, [this](const TaskState* task) {
    return core_.LostWork(*task);
  });
  Resources left = missing;
  for (TaskState* task : victims) {
    const Resources& gives = task->committed;
    const bool is_useful =
        (left.millicores > 0 && gives.millicores > 0) ||
        (left.memory_mebibytes > 0 && gives.memory_mebibytes > 0) ||
        (left.accelerators > 0 && gives.accelerators > 0);
    if (!is_useful) {
      continue;
    }
    left = Shortage(left, gives);
    plan.stopped.push_back(task);
    plan.cost +=
        kStopCost + static_cast<double>(core_.LostWork(*task).count()) /
                        kMicrosecondsPerSecond;
    if (left == Resources()) {
      return true;
    }
  }
  return false;
}

bool Preemptor::IsPreemptible(const TaskState& task,
                              EvictionReason reason) const {
  if (task.job->is_urgent || task.phase == TaskPhase::kStopping ||
      task.phase == TaskPhase::kClaiming) {
    return false;
  }
  return reason == EvictionReason::kUrgentWork ||
         core_.teams.IsBorrowing(task.job->team);
}

void Preemptor::Execute(const Plan& plan,
                        JobState& job,
                        const Resources& grant,
                        EvictionReason reason) {
  for (TaskState* task : plan.throttled) {
    Resources lower = task->grant;
    lower.millicores -= ThrottledMillicores(*task);
    task->is_throttled = true;
    task->has_full_grant = false;
    ++core_.counters.throttles;
    core_.RequestGrant(*task, lower, GrantReason::kUrgentWork);
  }
  for (TaskState* task : plan.stopped) {
    core_.Evict(*task, reason);
  }
  holds_.AddHold(job, *plan.worker, grant, HoldPurpose::kPreemption,
                 core_.now + core_.settings.preemption_timeout);
}
}  // namespace papayadrift::placement
