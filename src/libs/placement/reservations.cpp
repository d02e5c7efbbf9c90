#include <algorithm>
#include <vector>

#include "placement/reservations_p.h"

namespace papayadrift::placement {

namespace {

// Bounds of the expected remaining run time of a task.
constexpr microseconds kLeastRest = seconds(5);
constexpr microseconds kMostRest = seconds(30L * 24 * 3600);

}  // namespace

Reservations::Reservations(SchedulerCore& core, CapacityHolds& holds)
    : core_(core), holds_(holds), scorer_(core) {}

bool Reservations::Reserve(JobState& job, const Resources& grant) {
  if (holds_.HasReserved(job)) {
    return true;
  }
  if (!IsDue(job, grant)) {
    return false;
  }
  WorkerState* best = nullptr;
  std::optional<Instant> best_at;
  for (WorkerState* worker : holds_.Candidates(job, grant)) {
    if (!worker->IsClaimable(core_.now)) {
      continue;
    }
    const auto at = ExpectedFit(*worker, grant);
    if (at && (!best_at || *at < *best_at) && IsHarmless(*worker, job, grant)) {
      best = worker;
      best_at = at;
    }
  }
  if (best == nullptr) {
    return false;
  }
  ++core_.counters.reservations;
  holds_.AddHold(job, *best, grant, HoldPurpose::kReserved,
                 core_.now + core_.settings.reservation_timeout);
  return true;
}

bool Reservations::IsHarmless(WorkerState& worker,
                              const JobState& job,
                              const Resources& grant) const {
  const Score score = scorer_.Evaluate(worker, job, grant);
  return !score.is_risky && !score.is_too_harmful;
}

bool Reservations::IsDue(const JobState& job, const Resources& grant) const {
  const size_t most = std::max<size_t>(
      1, core_.fleet.up() / core_.settings.workers_per_reservation);
  return core_.settings.has_reservations &&
         core_.settings.rule != PlacementRule::kTightestFit && job.holds == 0 &&
         core_.now >= job.unplaced_since + core_.settings.reservation_pause &&
         core_.counters.claims - job.claims_when_unplaced >=
             core_.settings.overtaken_before_reservation &&
         holds_.CountOf(HoldPurpose::kReserved) < most &&
         (!core_.is_cut_off || core_.teams.IsWithinQuota(job.team, grant));
}

std::optional<Instant> Reservations::ExpectedFit(const WorkerState& worker,
                                                 const Resources& grant) const {
  if (!FitsIn(grant, worker.capacity - worker.reserved - worker.held)) {
    return std::nullopt;
  }
  std::vector<const TaskState*> tasks(worker.tasks.begin(), worker.tasks.end());
  std::ranges::sort(tasks, {},
                    [this](const TaskState* it) { return ExpectedEnd(*it); });
  Resources free = worker.Free();
  Instant at = core_.now;
  for (const TaskState* task : tasks) {
    if (FitsIn(grant, free)) {
      break;
    }
    free = free + task->committed;
    at = ExpectedEnd(*task);
  }
  return FitsIn(grant, free) ? std::optional(at) : std::nullopt;
}

Instant Reservations::ExpectedEnd(const TaskState& task) const {
  const microseconds rest =
      core_.usage.ExpectedRun(task.job->shape) - (core_.now - task.started_at);
  return core_.now + std::clamp(rest, kLeastRest, kMostRest);
}

}  // namespace papayadrift::placement
