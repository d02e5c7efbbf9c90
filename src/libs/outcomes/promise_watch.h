#ifndef PAPAYADRIFT_OUTCOMES_PROMISE_WATCH_H_
#define PAPAYADRIFT_OUTCOMES_PROMISE_WATCH_H_

#include <map>
#include <string>
#include <vector>

#include "base/instant.h"
#include "records/record.h"

namespace papayadrift::outcomes {

// Turns observations of whether promises are kept into the intervals in which
// they were not. For one thread at a time.
class PromiseWatch {
 public:
  // Takes in that `promise` is or isn't kept at `now`.
  void Observe(const std::string& promise, bool is_kept, WallInstant now);

  // Returns the intervals that have ended since the last call, and those that
  // go on, up to `now`: a long miss is disclosed while it lasts.
  std::vector<records::PromiseMissed> TakeMissed(WallInstant now);

 private:
  std::map<std::string, WallInstant> missed_since_;
  std::vector<records::PromiseMissed> ended_;
};

}  // namespace papayadrift::outcomes

#endif  // PAPAYADRIFT_OUTCOMES_PROMISE_WATCH_H_
