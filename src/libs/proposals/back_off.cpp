#include "proposals/back_off.h"

#include <algorithm>

namespace papayadrift::proposals {

std::optional<Instant> BackOff::unavailable_since() const {
  if (is_available()) {
    return std::nullopt;
  }
  return failing_since_;
}

void BackOff::OnSuccess() {
  failures_ = 0;
  retry_at_ = Instant();
}

void BackOff::OnFailure(Instant now) {
  constexpr uint32_t kMaximumDoublings = 7;
  if (failures_ == 0) {
    failing_since_ = now;
  }
  const uint32_t doublings = std::min(failures_, kMaximumDoublings);
  const microseconds delay =
      std::min(kInitialDelay * (1U << doublings), kMaximumDelay);
  const auto half = static_cast<uint32_t>(delay.count() / 2);
  retry_at_ = now + delay - microseconds(random_(half));
  ++failures_;
}

}  // namespace papayadrift::proposals
