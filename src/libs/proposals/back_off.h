#ifndef PAPAYADRIFT_PROPOSALS_BACK_OFF_H_
#define PAPAYADRIFT_PROPOSALS_BACK_OFF_H_

#include <cstdint>
#include <optional>
#include <pcg_random.hpp>

#include "base/instant.h"

namespace papayadrift::proposals {

// Exponential backoff with jitter after failures, and detection of outages. The
// delay doubles with each consecutive failure up to a maximum, and is reduced
// by a random part of up to a half, so that processes do not retry all at once.
class BackOff {
 public:
  static constexpr microseconds kInitialDelay = milliseconds(20);
  static constexpr microseconds kMaximumDelay = seconds(2);
  static constexpr uint32_t kOutageFailureThreshold = 3;

  explicit BackOff(uint64_t seed) : random_(seed) {}

  // The earliest time of the next attempt.
  Instant retry_at() const { return retry_at_; }
  bool is_available() const { return failures_ < kOutageFailureThreshold; }
  // When the first of the consecutive failures occurred, if there is an outage.
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
