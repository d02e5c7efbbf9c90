#ifndef PAPAYADRIFT_LEASE_LAPSE_TIMER_H_
#define PAPAYADRIFT_LEASE_LAPSE_TIMER_H_

#include <map>
#include <optional>
#include <vector>

#include "base/instant.h"
#include "lease/lease_settings.h"
#include "lease/subjects.h"

namespace papayadrift::lease {

// Tells at an entry when the lapses that it has seen accepted are complete, so
// that WorkerFreed or EntryRetired may be appended. Any entry may do this, also
// one that replayed the lapse late: it then waits longer than needed.
class LapseTimer {
 public:
  explicit LapseTimer(LeaseSettings settings);

  // Replay showed the lapse at `seen_at`; seen again, it changes nothing.
  void OnLapseSeen(const LapseSubject& subject, Instant seen_at);
  // Replay showed that the subject is freed, retired or otherwise gone.
  void OnSubjectRemoved(const LapseSubject& subject);

  // Returns the subjects whose lapse is complete at `now`.
  std::vector<LapseSubject> CompletedLapses(Instant now) const;
  // Returns when the next lapse is complete, if one is open.
  std::optional<Instant> NextCompletionAt() const;

 private:
  const LeaseSettings settings_;
  std::map<LapseSubject, Instant> complete_at_;
};

}  // namespace papayadrift::lease

#endif  // PAPAYADRIFT_LEASE_LAPSE_TIMER_H_
