#include <algorithm>
#include <iterator>
#include <utility>

#include "placement/rooms_p.h"

namespace papayadrift::placement {

namespace {

constexpr size_t kCandidates = 24;

// What a room may take, also if another room is still being made.
Resources Uncommitted(const WorkerState& worker) {
  return worker.capacity - worker.reserved - worker.committed;
}

PlacementReason ReasonFor(RoomUse use, const JobState& job) {
  switch (use) {
    case RoomUse::kMove:
      return PlacementReason::kMoved;
    case RoomUse::kReserved:
      return PlacementReason::kReserved;
    case RoomUse::kMade:
      break;
  }
  return job.is_urgent ? PlacementReason::kUrgent : PlacementReason::kLeastCost;
}

}  // namespace

Rooms::Rooms(Core& core) : core_(core), allowed_(core), scorer_(core) {}

void Rooms::Keep(JobState& job,
                 WorkerState& worker,
                 const Resources& amount,
                 RoomUse use,
                 Instant given_up_at) {
  core_.fleet.Hold(worker, amount);
  ++job.rooms;
  rooms_.push_back({job.id, {}, &worker, amount, use, given_up_at});
}

void Rooms::KeepForMove(const TaskState& task,
                        WorkerState& worker,
                        const Resources& amount,
                        Instant given_up_at) {
  core_.fleet.Hold(worker, amount);
  rooms_.push_back(
      {task.job->id, task.index, &worker, amount, RoomUse::kMove, given_up_at});
}

void Rooms::ClaimReady() {
  for (auto it = rooms_.begin(); it != rooms_.end();) {
    const Readiness readiness = ReadinessOf(*it);
    if (readiness == Readiness::kWaits) {
      ++it;
      continue;
    }
    core_.fleet.Unhold(*it->worker, it->amount);
    JobState* job = core_.jobs.Find(it->job);
    if (job != nullptr && !it->task) {
      --job->rooms;
    }
    if (readiness == Readiness::kReady && job != nullptr) {
      Claim(*it, *job);
    }
    it = rooms_.erase(it);
  }
}

size_t Rooms::CountOf(RoomUse use) const {
  return static_cast<size_t>(std::ranges::count(rooms_, use, &Room::use));
}

bool Rooms::HasReserved(const JobState& job) const {
  return job.rooms > 0 && std::ranges::any_of(rooms_, [&](const Room& room) {
           return room.job == job.id && room.use == RoomUse::kReserved;
         });
}

std::vector<WorkerState*> Rooms::Candidates(JobState& job,
                                            const Resources& grant) {
  const auto may_stand = [&](const WorkerState& it) {
    return MayStand(job, it);
  };
  const auto drawn = core_.fleet.DrawAny(grant.accelerators > 0, kCandidates);
  core_.counters.workers_examined += drawn.size();
  std::vector<WorkerState*> candidates;
  std::ranges::copy_if(drawn, std::back_inserter(candidates),
                       [&](const WorkerState* it) { return may_stand(*it); });
  if (!candidates.empty() || drawn.empty()) {
    return candidates;
  }
  candidates = allowed_.Find(job, *drawn.front(), kCandidates, may_stand);
  core_.counters.workers_examined += candidates.size();
  return candidates;
}

bool Rooms::MayStand(const JobState& job, const WorkerState& worker) const {
  if (core_.separations.WhyNot(job, worker)) {
    return false;
  }
  if (!job.separation.IsSpread() || job.rooms == 0) {
    return true;
  }
  DomainCounts domains = job.domains;
  for (const Room& room : rooms_) {
    if (room.job == job.id) {
      domains.Add(room.worker->zone, room.worker->rack);
    }
  }
  return domains.HasRoom(job.separation, worker.zone, worker.rack);
}

Rooms::Readiness Rooms::ReadinessOf(const Room& room) const {
  const WorkerState& worker = *room.worker;
  if (!IsWanted(room) || core_.now >= room.given_up_at ||
      worker.phase != WorkerPhase::kUp || worker.health.is_quarantined()) {
    return Readiness::kOver;
  }
  const TaskState* task =
      room.task ? core_.jobs.Find(TaskId{room.job, *room.task}) : nullptr;
  const bool is_there = FitsIn(room.amount, Uncommitted(worker)) &&
                        worker.IsClaimable(core_.now) &&
                        (task == nullptr || !IsLive(*task));
  return is_there ? Readiness::kReady : Readiness::kWaits;
}

bool Rooms::IsWanted(const Room& room) const {
  const JobState* job = std::as_const(core_.jobs).Find(room.job);
  if (job == nullptr || job->is_closed) {
    return false;
  }
  if (!room.task) {
    return job->has_pending();
  }
  const TaskState* task = core_.jobs.Find(TaskId{room.job, *room.task});
  return task != nullptr && (task->phase == TaskPhase::kPending ||
                             task->phase == TaskPhase::kStopping);
}

void Rooms::Claim(const Room& room, JobState& job) {
  if ((core_.is_cut_off && !core_.teams.IsWithinQuota(job.team, room.amount)) ||
      core_.separations.WhyNot(job, *room.worker)) {
    return;
  }
  // Urgent and owed work passes by the limits of services, other work doesn't.
  if (room.use != RoomUse::kMade) {
    const Score score = scorer_.Evaluate(*room.worker, job, room.amount);
    if (score.is_risky || score.is_too_harmful) {
      return;
    }
  }
  core_.ProposeClaim(
      job, *room.worker, room.amount,
      {ReasonFor(room.use, job), room.worker->id, room.amount, 0, 0, 1},
      room.task);
}

}  // namespace papayadrift::placement
