#ifndef PAPAYADRIFT_TESTS_COMPOSITION_DRIFTING_CLOCK_H_
#define PAPAYADRIFT_TESTS_COMPOSITION_DRIFTING_CLOCK_H_

#include "base/clock.h"
#include "routing/simulated_clock.h"

namespace papayadrift::test {

// The clock of one process, which runs faster or slower than true time.
class DriftingClock : public Clock {
 public:
  DriftingClock(const routing::SimulatedClock& timeline, int64_t rate_error_ppm)
      : timeline_(timeline), rate_error_ppm_(rate_error_ppm) {}

  Instant Now() const override { return At(timeline_.now()); }
  WallInstant WallNow() const override { return timeline_.event_time().wall; }

  // What the clock shows at a true instant.
  Instant At(Instant instant) const {
    constexpr int64_t kMillion = 1'000'000;
    const int64_t count = instant.time_since_epoch().count();
    return Instant(microseconds(count + count * rate_error_ppm_ / kMillion));
  }

 private:
  const routing::SimulatedClock& timeline_;
  const int64_t rate_error_ppm_;
};

}  // namespace papayadrift::test

#endif  // PAPAYADRIFT_TESTS_COMPOSITION_DRIFTING_CLOCK_H_
