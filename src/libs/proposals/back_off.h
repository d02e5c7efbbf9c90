#ifndef PAPAYADRIFT_PROPOSALS_BACK_OFF_H_
#define PAPAYADRIFT_PROPOSALS_BACK_OFF_H_

#include <cstdint>
#include <optional>
#include <pcg_random.hpp>

#include "base/instant.h"

namespace papayadrift::proposals {

// When to try again after failures, and whether they make an outage. The wait
// doubles with each failure in a row up to a maximum, less a random part of up
// to a half, so that processes don't come back all at once.
class BackOff {
 public:
  static constexpr microseconds kInitialDelay = milliseconds(20);
  static constexpr microseconds kMaximumDelay = seconds(2);
  static constexpr uint32_t kOutageFailureThreshold = 3;

  explicit BackOff(uint64_t seed) : random_(seed) {}

  // Not before this should the next try begin.
  Instant retry_at() const { return retry_at_; }
  bool is_available() const { return failures_ < kOutageFailureThreshold; }
  // When the first failure of the present row came, if there is an outage.
  std::optional<Instant> unavailable_since() const;

  void OnSuccess();
  void OnFailure(Instant now);

 private:
  pcg32 random_;
  uint32_t failures_ = 0;
  Instant failing_since_;
  Instant retry_at_;
};

}  // namespace papayadrift::proposals

#endif  // PAPAYADRIFT_PROPOSALS_BACK_OFF_H_
