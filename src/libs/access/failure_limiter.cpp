#include "access/failure_limiter.h"

#include "base/hash.h"

namespace papayadrift::access {

namespace {

constexpr int kWindowShift = 32;
constexpr uint64_t kCountMask = 0xffffffffULL;

uint32_t CountIn(uint64_t cell, uint32_t window) {
  const bool is_of_window = (cell >> kWindowShift) == window;
  return is_of_window ? static_cast<uint32_t>(cell & kCountMask) : 0;
}

uint64_t Cell(uint32_t window, uint32_t count) {
  return (static_cast<uint64_t>(window) << kWindowShift) | count;
}

}  // namespace

FailureLimiter::FailureLimiter(uint32_t maximum_failures,
                               microseconds window,
                               uint64_t seed)
    : maximum_failures_(maximum_failures), window_(window), seed_(seed) {}

void FailureLimiter::RecordFailure(std::string_view address, Instant now) {
  const uint32_t window = WindowOf(now);
  for (size_t row = 0; row < rows_.size(); ++row) {
    auto& cell = rows_[row][PlaceOf(address, row)];
    uint64_t seen = cell.load();
    while (!cell.compare_exchange_weak(
        seen, Cell(window, CountIn(seen, window) + 1))) {
    }
  }
}

bool FailureLimiter::IsOverLimit(std::string_view address, Instant now) const {
  const uint32_t window = WindowOf(now);
  for (size_t row = 0; row < rows_.size(); ++row) {
    const uint64_t cell = rows_[row][PlaceOf(address, row)].load();
    if (CountIn(cell, window) < maximum_failures_) {
      return false;
    }
  }
  return true;
}

Instant FailureLimiter::WindowEnd(Instant now) const {
  return Instant(now.time_since_epoch() / window_ * window_ + window_);
}

uint32_t FailureLimiter::WindowOf(Instant now) const {
  return static_cast<uint32_t>(now.time_since_epoch() / window_);
}

size_t FailureLimiter::PlaceOf(std::string_view address, size_t row) const {
  return StableHash(address, seed_ + row) % kCells;
}

}  // namespace papayadrift::access
