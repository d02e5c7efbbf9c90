#ifndef PAPAYADRIFT_PLACEMENT_CANDIDATE_INDEX_P_H_
#define PAPAYADRIFT_PLACEMENT_CANDIDATE_INDEX_P_H_

#include <array>
#include <cstdint>
#include <pcg_random.hpp>
#include <vector>

#include "base/resources.h"

namespace papayadrift::placement {

// Indexes workers by free processors, so that workers with enough capacity are
// sampled without a scan of the fleet. Workers with accelerators are indexed
// separately, so that tasks without accelerators use them only when no other
// worker has capacity.
class CandidateIndex {
 public:
  explicit CandidateIndex(uint64_t seed);

  // Adds a worker or updates its bucket. Workers are numbered from 0.
  void Update(uint32_t worker, int64_t free_millicores, bool has_accelerators);
  void Remove(uint32_t worker);
  // Returns up to `count` distinct workers, sampled at random from those with
  // approximately the needed processors free.
  std::vector<uint32_t> Draw(const Resources& need, size_t count);
  // Same as Draw(), but ignores free capacity.
  std::vector<uint32_t> DrawAny(bool with_accelerators, size_t count);

 private:
  static constexpr int64_t kMillicoresPerBucket = 500;
  static constexpr size_t kBuckets = 129;

  struct IndexEntry {
    bool is_indexed = false;
    bool has_accelerators = false;
    uint32_t bucket = 0;
    uint32_t position = 0;
  };
  using Group = std::array<std::vector<uint32_t>, kBuckets>;

  static uint32_t BucketOf(int64_t millicores);
  void DrawFrom(const Group& group,
                uint32_t lowest,
                size_t count,
                std::vector<uint32_t>& drawn);

  pcg64 random_;
  std::array<Group, 2> groups_;      // Without and with accelerators.
  std::vector<IndexEntry> entries_;  // By worker.
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_CANDIDATE_INDEX_P_H_
