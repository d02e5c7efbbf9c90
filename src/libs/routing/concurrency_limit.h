#ifndef PAPAYADRIFT_ROUTING_CONCURRENCY_LIMIT_H_
#define PAPAYADRIFT_ROUTING_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "base/instant.h"
#include "routing/routing_settings.h"

namespace papayadrift::routing {

// How many requests may be at the runners at once, learned from latency: the
// limit falls while latency is above its long-term mean, and grows while it is
// used up and latency is not.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(LimitSettings settings);

  // Sets the slots that there are; the limit stays between a part of them and
  // all of them.
  void SetCeiling(int32_t ceiling);

  // Takes in one latency, seen while `in_flight` requests were at runners.
  void Record(microseconds latency, int32_t in_flight);

  int32_t limit() const;

 private:
  void Adjust(double mean);
  void Clamp();

  LimitSettings settings_;
  double ceiling_ = 1;
  double limit_ = 1;
  double long_mean_ = 0;
  double window_sum_ = 0;
  int32_t window_count_ = 0;
  int32_t window_peak_ = 0;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_CONCURRENCY_LIMIT_H_
