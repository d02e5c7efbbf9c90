#ifndef PAPAYADRIFT_PROPOSALS_APPEND_BUDGET_H_
#define PAPAYADRIFT_PROPOSALS_APPEND_BUDGET_H_

#include <cstdint>

#include "base/instant.h"

namespace papayadrift::proposals {

// Limits the appends of one process to one stream by a token bucket that is
// initially full. The platform's log takes several hundred appends a second
// from all processes together; IntervalPerProcess() gives one process its part.
class AppendBudget {
 public:
  // `interval` is the time after which a used token is available again.
  AppendBudget(microseconds interval, uint32_t burst);

  // Returns the interval between one process's appends when `processes`
  // processes share a stream's appends a second equally.
  static microseconds IntervalPerProcess(uint32_t appends_per_second,
                                         uint32_t processes);

  bool HasToken(Instant now) const { return now >= NextTokenAt(); }
  // When the next token is available; may lie in the past.
  Instant NextTokenAt() const;

  // Takes a token, which must be available.
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
