#include "replay/plausibility.h"

#include <cstdint>

namespace papayadrift::replay {

bool IsPlausible(const Resources& resources) {
  constexpr int64_t kMaximumAmount = 1'000'000'000'000;
  constexpr Resources kMaximum = {.millicores = kMaximumAmount,
                                  .memory_mebibytes = kMaximumAmount,
                                  .accelerators = kMaximumAmount};
  return IsNonNegative(resources) && FitsIn(resources, kMaximum);
}

}  // namespace papayadrift::replay
