#include <algorithm>
#include <limits>

#include "placement/quarantine_manager_p.h"

namespace papayadrift::placement {

namespace {

// Maximum fraction of quarantined workers, so that a fault shared by many jobs
// does not stop the whole region.
constexpr double kMaximumPart = 0.25;
constexpr size_t kFailedWorkersToRefuse = 3;
constexpr size_t kTeamsScanned = 8;
constexpr double kProbeRate = 0.3;
constexpr microseconds kFirstRetryPause = seconds(1);
constexpr uint32_t kMaximumDoublings = 6;

}  // namespace

QuarantineManager::QuarantineManager(SchedulerCore& core) : core_(core) {}

void QuarantineManager::OnAttemptEnded(TaskState& task, bool has_failed) {
  WorkerState& worker = *task.worker;
  JobState& job = *task.job;
  FailureRecord& kind = core_.kind_failures[job.shape.kind];
  const double expected = std::max(kind.Rate(), job.failures.Rate());
  worker.health.Add(has_failed, expected);
  if (task.is_probe) {
    worker.health.AddProbe(core_.now, has_failed);
  }
  kind.Add(worker.number, has_failed);
  job.failures.Add(worker.number, has_failed);
  if (has_failed) {
    ++task.failures;
    if (!worker.health.IsSuspect()) {
      core_.usage.ObserveFailure(job.shape, task.grant);
    }
    const uint32_t doublings = std::min(task.failures - 1, kMaximumDoublings);
    job.next_try_at = core_.now + kFirstRetryPause * (1 << doublings);
    job.wait_state = {WaitReason::kRetryBackoff, core_.now};
  }
  UpdateQuarantine(worker);
}

bool QuarantineManager::RefuseIfFailingEverywhere(TaskState& task) {
  JobState& job = *task.job;
  const size_t enough =
      std::min(kFailedWorkersToRefuse, std::max<size_t>(1, core_.fleet.up()));
  if (task.failures < core_.policy.limits().attempts_per_task ||
      (job.failures.workers_failed() < enough &&
       !job.failures.has_succeeded())) {
    return false;
  }
  ++core_.counters.jobs_refused;
  core_.actions.emplace_back(
      RefuseJob{job.id, RefusalReason::kJobFailedEverywhere});
  core_.CloseJob(job, Refused{RefusalReason::kJobFailedEverywhere},
                 EvictionReason::kJobRefused);
  return true;
}

void QuarantineManager::OnQuarantineRecord(WorkerState& worker,
                                           bool is_quarantined) {
  if (worker.health.is_quarantined() == is_quarantined) {
    return;
  }
  if (is_quarantined) {
    worker.health.StartQuarantine(core_.now);
    quarantined_.insert(&worker);
  } else {
    worker.health.EndQuarantine();
    quarantined_.erase(&worker);
  }
  core_.fleet.Reindex(worker);
}

void QuarantineManager::CarryOver(const WorkerState& worker) {
  if (worker.health.is_quarantined() && worker.is_assigned) {
    core_.actions.emplace_back(Quarantine{worker.id, worker.incarnation});
  }
}

void QuarantineManager::SendProbes() {
  for (WorkerState* worker : quarantined_) {
    const bool is_probed =
        std::ranges::any_of(worker->tasks, &TaskState::is_probe);
    if (!is_probed && core_.now >= worker->health.next_probe_at() &&
        worker->IsClaimable(core_.now)) {
      SendProbe(*worker);
    }
  }
}

void QuarantineManager::UpdateQuarantine(WorkerState& worker) {
  WorkerHealth& health = worker.health;
  if (health.HasPassedProbes()) {
    health.EndQuarantine();
    quarantined_.erase(&worker);
    ++core_.counters.releases;
    core_.actions.emplace_back(Release{worker.id, worker.incarnation});
    core_.fleet.Reindex(worker);
    return;
  }
  const auto most =
      std::max(1.0, kMaximumPart * static_cast<double>(core_.fleet.up()));
  if (health.is_quarantined() || !health.IsFailing() ||
      static_cast<double>(quarantined_.size() + 1) > most) {
    return;
  }
  health.StartQuarantine(core_.now);
  quarantined_.insert(&worker);
  ++core_.counters.quarantines;
  core_.actions.emplace_back(Quarantine{worker.id, worker.incarnation});
  core_.fleet.Reindex(worker);
}

void QuarantineManager::SendProbe(WorkerState& worker) {
  Resources grant;
  JobState* job = ProbeFor(worker, grant);
  if (job == nullptr) {
    return;
  }
  core_.ProposeClaim(*job, worker, grant,
                     {PlacementReason::kProbe, worker.id, grant, 0, 0, 1});
}

JobState* QuarantineManager::ProbeFor(const WorkerState& worker,
                                      Resources& grant) {
  TeamShares::Rank cursor{std::numeric_limits<double>::lowest(), 0};
  for (size_t i = 0; i < kTeamsScanned; ++i) {
    const auto rank = core_.teams.NextFrom(cursor);
    if (!rank) {
      return nullptr;
    }
    cursor = {rank->first, rank->second + 1};
    for (JobState* job : core_.teams.queue(rank->second)) {
      grant = core_.GrantFor(*job);
      const bool is_known_to_work =
          core_.kind_failures[job->shape.kind].Rate() < kProbeRate;
      const bool is_allowed =
          !core_.is_cut_off || core_.teams.IsWithinQuota(job->team, grant);
      if (is_known_to_work && is_allowed && !job->is_urgent &&
          core_.now >= job->next_try_at && FitsIn(grant, worker.Free()) &&
          !core_.separations.WhyNot(*job, worker)) {
        return job;
      }
      break;
    }
  }
  return nullptr;
}

}  // namespace papayadrift::placement
