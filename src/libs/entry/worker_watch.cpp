#include "entry/worker_watch.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace papayadrift::entry {

WorkerWatch::WorkerWatch(milliseconds suspicion,
                         const DecisionStream& decisions,
                         const EntryStanding& standing,
                         MembershipDriver& membership,
                         lease::FreezePromises& promises,
                         WorkerDesk& workers,
                         const Clock& clock)
    : suspicion_(suspicion),
      decisions_(decisions),
      standing_(standing),
      membership_(membership),
      promises_(promises),
      workers_(workers),
      clock_(clock) {}

void WorkerWatch::OnTime() {
  std::set<replay::WorkerKey> suspected;
  // Without the log nothing can be lapsed, so that promises may be given.
  if (standing_.is_full_member() && decisions_.is_log_available()) {
    suspected = SilentWorkers();
  }
  for (const replay::WorkerKey& key : suspected_) {
    if (!suspected.contains(key)) {
      promises_.OnLapseUnwanted(lease::WorkerKey{key.worker, key.incarnation});
    }
  }
  suspected_ = std::move(suspected);
  std::ranges::for_each(suspected_, [this](const auto& it) { Suspect(it); });
}

void WorkerWatch::OnApplied(Offset /*offset*/,
                            const replay::AppliedProposal& applied) {
  const auto* freed =
      std::get_if<records::WorkerFreed>(&applied.proposal.record);
  if (freed != nullptr && applied.verdict.is_accepted()) {
    workers_.Forget({freed->worker, freed->incarnation});
    watched_since_.erase({freed->worker, freed->incarnation});
  }
}

std::set<replay::WorkerKey> WorkerWatch::SilentWorkers() {
  const Instant now = clock_.Now();
  // An entry that was paused itself has heard nobody meanwhile.
  if (now - std::exchange(looked_at_, now) > suspicion_ / 2) {
    watched_since_.clear();
  }
  std::set<replay::WorkerKey> silent;
  for (const auto& [key, worker] : decisions_.state().workers().workers()) {
    if (!IsWatched(key, worker.phase)) {
      continue;
    }
    const Instant watched = watched_since_.try_emplace(key, now).first->second;
    const Instant heard =
        std::max(watched, workers_.LastHeard(key).value_or(watched));
    if (now - heard > suspicion_) {
      silent.insert(key);
    }
  }
  return silent;
}

bool WorkerWatch::IsWatched(const replay::WorkerKey& worker,
                            replay::WorkerPhase phase) const {
  return phase != replay::WorkerPhase::kLapsed &&
         membership_.IsHomeOf(worker.worker.text());
}

void WorkerWatch::Suspect(const replay::WorkerKey& worker) {
  const lease::WorkerKey subject{worker.worker, worker.incarnation};
  if (promises_.IsLapsePending(subject)) {
    return;
  }
  const bool is_proposed = membership_.ProposeLapse(
      subject, [this, worker] { workers_.SetLapsePending(worker, false); });
  if (is_proposed) {
    workers_.SetLapsePending(worker, true);
  }
}

}  // namespace papayadrift::entry
