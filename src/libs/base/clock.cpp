#include "base/clock.h"

#include <ctime>

namespace papayadrift {

Instant SystemClock::Now() const {
  const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
  return Instant(std::chrono::duration_cast<microseconds>(since_boot));
}

WallInstant SystemClock::WallNow() const {
  return std::chrono::time_point_cast<milliseconds>(
      std::chrono::system_clock::now());
}

Instant SuspendAwareClock::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant(std::chrono::duration_cast<microseconds>(
      seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

ManualClock::ManualClock(WallInstant start) : start_(start) {}

Instant ManualClock::Now() const {
  return Instant(microseconds(elapsed_microseconds_.load()));
}

WallInstant ManualClock::WallNow() const {
  const microseconds elapsed(elapsed_microseconds_.load());
  return start_ + std::chrono::duration_cast<milliseconds>(elapsed);
}

void ManualClock::Advance(microseconds step) {
  elapsed_microseconds_ += step.count();
}

}  // namespace papayadrift
