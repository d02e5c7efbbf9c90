#ifndef PAPAYADRIFT_BASE_CLOCK_H_
#define PAPAYADRIFT_BASE_CLOCK_H_

#include <atomic>
#include <cstdint>

#include "base/instant.h"

namespace papayadrift {

// Source of time, passed to whatever needs to read it.
class Clock {
 public:
  virtual ~Clock() = default;

  virtual Instant Now() const = 0;
  virtual WallInstant WallNow() const = 0;
};

// The clocks of the operating system.
class SystemClock : public Clock {
 public:
  Instant Now() const override;
  WallInstant WallNow() const override;
};

// The same, but Now() also counts time in which the VM was suspended.
class SuspendAwareClock : public SystemClock {
 public:
  Instant Now() const override;
};

// A clock that moves only when told to. Safe to share between threads.
class ManualClock : public Clock {
 public:
  explicit ManualClock(WallInstant start = WallInstant(milliseconds(0)));

  Instant Now() const override;
  WallInstant WallNow() const override;
  void Advance(microseconds step);

 private:
  const WallInstant start_;
  std::atomic<int64_t> elapsed_microseconds_{0};
};

}  // namespace papayadrift

#endif  // PAPAYADRIFT_BASE_CLOCK_H_
