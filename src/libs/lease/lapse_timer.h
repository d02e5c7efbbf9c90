#ifndef PAPAYADRIFT_LEASE_LAPSE_TIMER_H_
#define PAPAYADRIFT_LEASE_LAPSE_TIMER_H_

#include <map>
#include <optional>
#include <vector>

#include "base/instant.h"
#include "lease/lease_settings.h"
#include "lease/subjects.h"

namespace papayadrift::lease {

// Determines when the lapses that an entry has seen accepted are complete, so
// that WorkerFreed or EntryRetired may be appended. Any entry may do this; one
// that replayed the lapse late waits longer than needed.
class LapseTimer {
 public:
  explicit LapseTimer(LeaseSettings settings);

  // Handles a lapse that replay reached at `seen_at`. Repeated calls for a
  // subject have no effect.
  void OnLapseSeen(const LapseSubject& subject, Instant seen_at);
  // Removes a subject that replay shows as freed, retired or otherwise gone.
  void OnSubjectRemoved(const LapseSubject& subject);

  // Returns the subjects whose lapse is complete at `now`.
  std::vector<LapseSubject> CompletedLapses(Instant now) const;
  // Returns when the next lapse is complete, or nothing if none is open.
  std::optional<Instant> NextCompletionAt() const;

 private:
  const LeaseSettings settings_;
  std::map<LapseSubject, Instant> complete_at_;
};

}  // namespace papayadrift::lease

#endif  // PAPAYADRIFT_LEASE_LAPSE_TIMER_H_
