#ifndef PAPAYADRIFT_ACCESS_FAILURE_LIMITER_H_
#define PAPAYADRIFT_ACCESS_FAILURE_LIMITER_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "base/instant.h"

namespace papayadrift::access {

// Counts failures by remote address in windows of time, in memory of fixed
// size and without a lock. Different addresses may share a cell; an address is
// over the limit only when both of its cells are.
class FailureLimiter {
 public:
  // `seed` should be random, so that nobody can choose whom to share with.
  FailureLimiter(uint32_t maximum_failures, microseconds window, uint64_t seed);

  void RecordFailure(std::string_view address, Instant now);
  bool IsOverLimit(std::string_view address, Instant now) const;

  // Returns when the window of `now` ends.
  Instant WindowEnd(Instant now) const;

 private:
  static constexpr size_t kCells = 4096;  // For each of two hashes.
  using Cells = std::array<std::atomic<uint64_t>, kCells>;

  uint32_t WindowOf(Instant now) const;
  size_t PlaceOf(std::string_view address, size_t row) const;

  const uint32_t maximum_failures_;
  const microseconds window_;
  const uint64_t seed_;
  std::array<Cells, 2> rows_{};
};

}  // namespace papayadrift::access

#endif  // PAPAYADRIFT_ACCESS_FAILURE_LIMITER_H_
