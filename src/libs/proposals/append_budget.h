#ifndef PAPAYADRIFT_PROPOSALS_APPEND_BUDGET_H_
#define PAPAYADRIFT_PROPOSALS_APPEND_BUDGET_H_

#include <cstdint>

#include "base/instant.h"

namespace papayadrift::proposals {

// How many appends to one stream one process may make: a token bucket that is
// full at first. The platform's log takes several hundred appends a second
// from all processes together; IntervalPerProcess() gives one process its part.
class AppendBudget {
 public:
  // `interval` is the time that one token takes to come back.
  AppendBudget(microseconds interval, uint32_t burst);

  // Returns the interval of one of `processes` equal shares of a stream's
  // appends a second.
  static microseconds IntervalPerProcess(uint32_t appends_per_second,
                                         uint32_t processes);

  bool HasToken(Instant now) const { return now >= NextTokenAt(); }
  // When the next token is there; may lie in the past.
  Instant NextTokenAt() const;

  // Takes a token, which must be there.
  void Take(Instant now);
  void SetInterval(microseconds interval) { interval_ = interval; }

 private:
  microseconds interval_;
  const uint32_t burst_;
  // When the bucket is full again.
  Instant full_at_;
};

}  // namespace papayadrift::proposals

#endif  // PAPAYADRIFT_PROPOSALS_APPEND_BUDGET_H_
