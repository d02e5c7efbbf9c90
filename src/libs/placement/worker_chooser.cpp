#include "placement/worker_chooser_p.h"

namespace papayadrift::placement {

WorkerChooser::WorkerChooser(SchedulerCore& core)
    : core_(core), allowed_(core), scorer_(core) {}

WorkerChoice WorkerChooser::Choose(JobState& job,
                                   const Resources& grant,
                                   const WorkerState* except) {
  ++core_.counters.tries;
  const size_t count = core_.settings.workers_examined;
  const auto drawn = core_.fleet.Draw(grant, count);
  const WorkerChoice first = BestOf(drawn, job, grant, except);
  if (first.worker != nullptr || !first.is_kept_apart) {
    return first;
  }
  const auto allowed = allowed_.Find(
      job, *drawn.front(), count,
      [&](const WorkerState& it) { return FitsIn(grant, it.Free()); });
  WorkerChoice second = BestOf(allowed, job, grant, except);
  second.examined += first.examined;
  second.why_not = second.why_not ? second.why_not : first.why_not;
  return second;
}

WorkerChoice WorkerChooser::BestOf(const std::vector<WorkerState*>& candidates,
                                   const JobState& job,
                                   const Resources& grant,
                                   const WorkerState* except) {
  core_.counters.workers_examined += candidates.size();
  WorkerChoice choice;
  choice.examined = static_cast<int>(candidates.size());
  for (WorkerState* worker : candidates) {
    if (worker == except || !MayClaimOn(*worker) ||
        !FitsIn(grant, worker->Free())) {
      continue;
    }
    if (const auto reason = core_.separations.WhyNot(job, *worker)) {
      choice.why_not = choice.why_not.value_or(*reason);
      choice.is_kept_apart = true;
      continue;
    }
    const Score score = scorer_.Evaluate(*worker, job, grant);
    if (score.is_risky && !job.is_urgent) {
      choice.why_not = WaitReason::kServicesNearTarget;
      continue;
    }
    if (score.is_too_harmful && !job.is_urgent) {
      choice.why_not = WaitReason::kHarmsServices;
      continue;
    }
    if (choice.worker == nullptr || score.cost < choice.score.cost) {
      choice.worker = worker;
      choice.score = score;
    }
  }
  return choice;
}

bool WorkerChooser::MayClaimOn(const WorkerState& worker) const {
  const int limit = worker.health.IsSuspect()
                        ? 1
                        : core_.settings.claims_in_flight_per_worker;
  return worker.IsClaimable(core_.now) && worker.claims_in_flight < limit;
}

}  // namespace papayadrift::placement
