#ifndef PAPAYADRIFT_ROUTING_CONCURRENCY_LIMIT_H_
#define PAPAYADRIFT_ROUTING_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "base/instant.h"
#include "routing/routing_settings.h"

namespace papayadrift::routing {

// Adaptive limit of concurrent requests, derived from latency: the limit
// decreases while the latency exceeds its long-term mean, and increases while
// the limit is used up and the latency is normal.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(LimitSettings settings);

  // Sets the number of existing slots; the limit stays between a fraction of
  // them and all of them.
  void SetCeiling(int32_t ceiling);

  // Records a latency that was observed with `in_flight` concurrent requests.
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
