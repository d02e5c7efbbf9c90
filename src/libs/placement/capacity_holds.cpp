#include <algorithm>
#include <iterator>
#include <utility>

#include "placement/capacity_holds_p.h"

namespace papayadrift::placement {

namespace {

constexpr size_t kCandidates = 24;

// Capacity available to a hold, ignoring other holds.
Resources Uncommitted(const WorkerState& worker) {
  return worker.capacity - worker.reserved - worker.committed;
}

PlacementReason ReasonFor(HoldPurpose use, const JobState& job) {
  switch (use) {
    case HoldPurpose::kMove:
      return PlacementReason::kMoved;
    case HoldPurpose::kReserved:
      return PlacementReason::kReserved;
    case HoldPurpose::kPreemption:
      break;
  }
  return job.is_urgent ? PlacementReason::kUrgent : PlacementReason::kLeastCost;
}

}  // namespace

CapacityHolds::CapacityHolds(SchedulerCore& core)
    : core_(core), allowed_(core), scorer_(core) {}

void CapacityHolds::AddHold(JobState& job,
                            WorkerState& worker,
                            const Resources& amount,
                            HoldPurpose use,
                            Instant expires_at) {
  core_.fleet.Hold(worker, amount);
  ++job.holds;
  holds_.push_back({job.id, {}, &worker, amount, use, expires_at});
}

void CapacityHolds::AddForMove(const TaskState& task,
                               WorkerState& worker,
                               const Resources& amount,
                               Instant expires_at) {
  core_.fleet.Hold(worker, amount);
  holds_.push_back({task.job->id, task.index, &worker, amount,
                    HoldPurpose::kMove, expires_at});
}

void CapacityHolds::ClaimReady() {
  for (auto it = holds_.begin(); it != holds_.end();) {
    const Readiness readiness = ReadinessOf(*it);
    if (readiness == Readiness::kWaits) {
      ++it;
      continue;
    }
    core_.fleet.ReleaseHold(*it->worker, it->amount);
    JobState* job = core_.jobs.Find(it->job);
    if (job != nullptr && !it->task) {
      --job->holds;
    }
    if (readiness == Readiness::kReady && job != nullptr) {
      Claim(*it, *job);
    }
    it = holds_.erase(it);
  }
}

size_t CapacityHolds::CountOf(HoldPurpose use) const {
  return static_cast<size_t>(
      std::ranges::count(holds_, use, &CapacityHold::use));
}

bool CapacityHolds::HasReserved(const JobState& job) const {
  return job.holds > 0 &&
         std::ranges::any_of(holds_, [&](const CapacityHold& hold) {
           return hold.job == job.id && hold.use == HoldPurpose::kReserved;
         });
}

std::vector<WorkerState*> CapacityHolds::Candidates(JobState& job,
                                                    const Resources& grant) {
  const auto is_allowed = [&](const WorkerState& it) {
    return IsAllowedOn(job, it);
  };
  const auto drawn = core_.fleet.DrawAny(grant.accelerators > 0, kCandidates);
  core_.counters.workers_examined += drawn.size();
  std::vector<WorkerState*> candidates;
  std::ranges::copy_if(drawn, std::back_inserter(candidates),
                       [&](const WorkerState* it) { return is_allowed(*it); });
  if (!candidates.empty() || drawn.empty()) {
    return candidates;
  }
  candidates = allowed_.Find(job, *drawn.front(), kCandidates, is_allowed);
  core_.counters.workers_examined += candidates.size();
  return candidates;
}

bool CapacityHolds::IsAllowedOn(const JobState& job,
                                const WorkerState& worker) const {
  if (core_.separations.WhyNot(job, worker)) {
    return false;
  }
  if (!job.separation.IsSpread() || job.holds == 0) {
    return true;
  }
  DomainCounts domains = job.domains;
  for (const CapacityHold& hold : holds_) {
    if (hold.job == job.id) {
      domains.Add(hold.worker->zone, hold.worker->rack);
    }
  }
  return domains.HasRoom(job.separation, worker.zone, worker.rack);
}

CapacityHolds::Readiness CapacityHolds::ReadinessOf(
    const CapacityHold& hold) const {
  const WorkerState& worker = *hold.worker;
  if (!IsNeeded(hold) || core_.now >= hold.expires_at ||
      worker.phase != WorkerPhase::kUp || worker.health.is_quarantined()) {
    return Readiness::kOver;
  }
  const TaskState* task =
      hold.task ? core_.jobs.Find(TaskId{hold.job, *hold.task}) : nullptr;
  const bool is_there = FitsIn(hold.amount, Uncommitted(worker)) &&
                        worker.IsClaimable(core_.now) &&
                        (task == nullptr || !IsLive(*task));
  return is_there ? Readiness::kReady : Readiness::kWaits;
}

bool CapacityHolds::IsNeeded(const CapacityHold& hold) const {
  const JobState* job = std::as_const(core_.jobs).Find(hold.job);
  if (job == nullptr || job->is_closed) {
    return false;
  }
  if (!hold.task) {
    return job->has_pending();
  }
  const TaskState* task = core_.jobs.Find(TaskId{hold.job, *hold.task});
  return task != nullptr && (task->phase == TaskPhase::kPending ||
                             task->phase == TaskPhase::kStopping);
}

void CapacityHolds::Claim(const CapacityHold& hold, JobState& job) {
  if ((core_.is_cut_off && !core_.teams.IsWithinQuota(job.team, hold.amount)) ||
      core_.separations.WhyNot(job, *hold.worker)) {
    return;
  }
  // Work that preempts (urgent or within quota) ignores the limits of services;
  // other work respects them.
  if (hold.use != HoldPurpose::kPreemption) {
    const Score score = scorer_.Evaluate(*hold.worker, job, hold.amount);
    if (score.is_risky || score.is_too_harmful) {
      return;
    }
  }
  core_.ProposeClaim(
      job, *hold.worker, hold.amount,
      {ReasonFor(hold.use, job), hold.worker->id, hold.amount, 0, 0, 1},
      hold.task);
}

}  // namespace papayadrift::placement
