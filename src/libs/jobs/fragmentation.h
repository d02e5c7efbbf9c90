#ifndef PAPAYADRIFT_JOBS_FRAGMENTATION_H_
#define PAPAYADRIFT_JOBS_FRAGMENTATION_H_

#include <cstdint>
#include <vector>

#include "base/instant.h"
#include "base/resources.h"

// Measures which places for large tasks a short task would take away. Answers
// hundreds of short tasks a second that spread over all runners with room for a
// large one, although there is room for them in smaller gaps.

namespace papayadrift::jobs {

// The sizes of tasks that lately waited or were placed: the four largest, so
// that their cost doesn't grow with the number of kinds.
class LargeSizes {
 public:
  void Add(const Resources& need, Instant now);
  // Removes sizes that were added last before `since`.
  void RemoveBefore(Instant since);

  const std::vector<Resources>& needs() const { return needs_; }

 private:
  std::vector<Resources> needs_;
  std::vector<Instant> added_at_;  // The last time, by size.
};

// Returns how many tasks that need `need` fit into `free`.
int64_t PlacesIn(const Resources& free, const Resources& need);

// Returns the largest number of places that a task with `need` takes away from
// one of the sizes if it starts where `free` is free. Only sizes with
// `min_ratio` times its processors count.
int64_t LostPlaces(const LargeSizes& sizes,
                   const Resources& free,
                   const Resources& need,
                   int64_t min_ratio);

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_FRAGMENTATION_H_
