#ifndef PAPAYADRIFT_ENTRY_WORKER_WATCH_H_
#define PAPAYADRIFT_ENTRY_WORKER_WATCH_H_

#include <map>
#include <set>

#include "base/clock.h"
#include "entry/decision_stream.h"
#include "entry/entry_standing.h"
#include "entry/membership_driver.h"
#include "entry/worker_desk.h"
#include "lease/freeze_promises.h"

namespace papayadrift::entry {

// Suspects workers whose home this entry is and that are silent for too long,
// and has their lapse proposed. On the control thread only.
class WorkerWatch : public DecisionListener {
 public:
  // `suspicion` is how long a worker may be silent.
  WorkerWatch(milliseconds suspicion,
              const DecisionStream& decisions,
              const EntryStanding& standing,
              MembershipDriver& membership,
              lease::FreezePromises& promises,
              WorkerDesk& workers,
              const Clock& clock);

  // Looks through all workers; to be called several times in `suspicion`.
  void OnTime();
  // The homes of workers may have changed.
  void OnHomesChanged() { watched_since_.clear(); }

  void OnApplied(Offset offset,
                 const replay::AppliedProposal& applied) override;
  void OnRestored() override {}

 private:
  // Live workers whose home this is and that are silent for too long.
  std::set<replay::WorkerKey> SilentWorkers();
  bool IsWatched(const replay::WorkerKey& worker,
                 replay::WorkerPhase phase) const;
  void Suspect(const replay::WorkerKey& worker);

  const milliseconds suspicion_;
  const DecisionStream& decisions_;
  const EntryStanding& standing_;
  MembershipDriver& membership_;
  lease::FreezePromises& promises_;
  WorkerDesk& workers_;
  const Clock& clock_;
  // Since when this entry watches a worker that it has not heard.
  std::map<replay::WorkerKey, Instant> watched_since_;
  // Workers whose lapse this entry wants or proposes.
  std::set<replay::WorkerKey> suspected_;
  // When the workers were looked through last.
  Instant looked_at_;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_WORKER_WATCH_H_
