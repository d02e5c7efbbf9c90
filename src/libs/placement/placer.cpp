#include <algorithm>
#include <limits>

#include "placement/placer_p.h"

namespace papayadrift::placement {

namespace {

// Delay before refusing a job that fits no worker, in which a lost rack or zone
// may return.
constexpr microseconds kRefusalPause = seconds(60);
constexpr microseconds kUrgentRetryPause = milliseconds(50);

}  // namespace

Placer::Placer(SchedulerCore& core,
               Preemptor& preemptor,
               Reservations& reservations)
    : core_(core),
      preemptor_(preemptor),
      reservations_(reservations),
      chooser_(core) {}

void Placer::Pass() {
  claims_left_ = core_.settings.claims_per_pass;
  PassUrgent();
  PassTeams();
}

void Placer::PassUrgent() {
  size_t scanned = 0;
  std::vector<JobState*> due;
  for (JobState* job : core_.teams.urgent()) {
    if (++scanned > core_.settings.claims_per_pass) {
      break;
    }
    if (core_.now >= job->next_try_at) {
      due.push_back(job);
    }
  }
  for (JobState* job : due) {
    ++core_.counters.jobs_examined;
    while (claims_left_ > 0 && job->has_pending()) {
      if (TryPlace(*job) != Outcome::kPlaced) {
        break;
      }
    }
  }
}

void Placer::PassTeams() {
  size_t failed = 0;
  TeamShares::Rank cursor{std::numeric_limits<double>::lowest(), 0};
  while (claims_left_ > 0 && failed < core_.settings.failed_tries_per_pass) {
    const auto rank = core_.teams.NextFrom(cursor);
    if (!rank) {
      return;
    }
    cursor = {rank->first, rank->second + 1};
    PassTeam(rank->second, failed);
  }
}

void Placer::PassTeam(uint32_t team, size_t& failed) {
  size_t failed_here = 0;
  while (claims_left_ > 0 &&
         failed_here < core_.settings.failed_tries_per_team) {
    JobState* job = NextJob(team);
    if (job == nullptr) {
      return;
    }
    if (TryPlace(*job) == Outcome::kPlaced) {
      // The team's share has grown, so the pass continues with the next team in
      // order.
      return;
    }
    ++failed;
    ++failed_here;
  }
}

JobState* Placer::NextJob(uint32_t team) {
  size_t scanned = 0;
  for (JobState* job : core_.teams.queue(team)) {
    if (++scanned > core_.settings.jobs_scanned_per_team) {
      return nullptr;
    }
    ++core_.counters.jobs_examined;
    if (core_.now >= job->next_try_at) {
      return job;
    }
  }
  return nullptr;
}

Placer::Outcome Placer::TryPlace(JobState& job) {
  Resources grant = core_.GrantFor(job);
  if (RefuseIfTooLarge(job, grant)) {
    return Outcome::kRefused;
  }
  if (const auto reason = FindWaitReason(job, grant)) {
    return Postpone(job, *reason);
  }
  const WorkerChoice choice = chooser_.Choose(job, grant);
  if (choice.worker == nullptr) {
    if (preemptor_.Preempt(job, grant)) {
      return Postpone(job, WaitReason::kPreempting);
    }
    const auto reason = choice.why_not.value_or(WaitReason::kNoWorkerFits);
    RecordFailure(job);
    if (reason == WaitReason::kServicesNearTarget ||
        reason == WaitReason::kHarmsServices) {
      return Postpone(job, reason);
    }
    return Postpone(job, reservations_.Reserve(job, grant)
                             ? WaitReason::kCapacityReserved
                             : reason);
  }
  core_.ProposeClaim(
      job, *choice.worker, grant,
      {ReasonFor(job), choice.worker->id, grant, choice.score.cost,
       choice.score.pressure, choice.examined});
  --claims_left_;
  return Outcome::kPlaced;
}

void Placer::RecordFailure(JobState& job) const {
  if (job.unplaced_since == Instant::max()) {
    job.unplaced_since = core_.now;
    job.claims_when_unplaced = core_.counters.claims;
  }
}

PlacementReason Placer::ReasonFor(const JobState& job) const {
  if (job.is_urgent) {
    return PlacementReason::kUrgent;
  }
  return core_.settings.rule == PlacementRule::kTightestFit
             ? PlacementReason::kTightestFit
             : PlacementReason::kLeastCost;
}

Placer::Outcome Placer::Postpone(JobState& job, WaitReason reason) {
  if (job.wait_state.reason != reason) {
    job.wait_state = {reason, core_.now};
  }
  job.next_try_at = core_.now + (job.is_urgent ? kUrgentRetryPause
                                               : core_.settings.retry_pause);
  return Outcome::kNotPlaced;
}

bool Placer::RefuseIfTooLarge(JobState& job, Resources& grant) {
  const Resources& largest = core_.fleet.largest();
  const Resources least = {
      0, std::min(grant.memory_mebibytes, job.shape.declared.memory_mebibytes),
      grant.accelerators};
  grant.millicores = std::min(grant.millicores, largest.millicores);
  if (FitsIn(least, largest)) {
    // More than half a worker is rarely free at once, so only the declared size
    // may be larger.
    const int64_t most = std::max(job.shape.declared.memory_mebibytes,
                                  largest.memory_mebibytes / 2);
    grant.memory_mebibytes =
        std::min({grant.memory_mebibytes, most, largest.memory_mebibytes});
    return false;
  }
  if (core_.fleet.up() == 0 || core_.now < job.submitted_at + kRefusalPause) {
    return false;
  }
  ++core_.counters.jobs_refused;
  core_.actions.emplace_back(RefuseJob{job.id, RefusalReason::kJobFitsNowhere});
  core_.CloseJob(job, Refused{RefusalReason::kJobFitsNowhere},
                 EvictionReason::kJobRefused);
  return true;
}

std::optional<WaitReason> Placer::FindWaitReason(const JobState& job,
                                                 const Resources& grant) const {
  if (core_.is_cut_off && !core_.teams.IsWithinQuota(job.team, grant)) {
    return WaitReason::kTeamOverQuota;
  }
  return std::nullopt;
}
}  // namespace papayadrift::placement
