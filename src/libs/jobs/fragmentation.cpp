#include "jobs/fragmentation.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <limits>

namespace papayadrift::jobs {
namespace {

constexpr size_t kMaxSizes = 4;

int64_t PlacesOf(int64_t free, int64_t need) {
  return need <= 0 ? std::numeric_limits<int64_t>::max()
                   : std::max<int64_t>(0, free) / need;
}

}  // namespace

void LargeSizes::Add(const Resources& need, Instant now) {
  const auto it = std::ranges::find(needs_, need);
  if (it != needs_.end()) {
    added_at_[static_cast<size_t>(std::distance(needs_.begin(), it))] = now;
    return;
  }
  if (needs_.size() < kMaxSizes) {
    needs_.push_back(need);
    added_at_.push_back(now);
    return;
  }
  const auto smallest =
      std::ranges::min_element(needs_, {}, &Resources::millicores);
  if (smallest->millicores < need.millicores) {
    *smallest = need;
    added_at_[static_cast<size_t>(std::distance(needs_.begin(), smallest))] =
        now;
  }
}

void LargeSizes::RemoveBefore(Instant since) {
  for (size_t i = needs_.size(); i-- > 0;) {
    if (added_at_[i] < since) {
      needs_.erase(needs_.begin() + static_cast<ptrdiff_t>(i));
      added_at_.erase(added_at_.begin() + static_cast<ptrdiff_t>(i));
    }
  }
}

int64_t PlacesIn(const Resources& free, const Resources& need) {
  return std::min({PlacesOf(free.millicores, need.millicores),
                   PlacesOf(free.memory_mebibytes, need.memory_mebibytes),
                   PlacesOf(free.accelerators, need.accelerators)});
}

int64_t LostPlaces(const LargeSizes& sizes,
                   const Resources& free,
                   const Resources& need,
                   int64_t min_ratio) {
  int64_t lost = 0;
  for (const Resources& size : sizes.needs()) {
    if (size.millicores >= min_ratio * need.millicores) {
      lost = std::max(lost, PlacesIn(free, size) - PlacesIn(free - need, size));
    }
  }
  return lost;
}

}  // namespace papayadrift::jobs
