#include <algorithm>
#include <ranges>

#include "placement/candidate_index_p.h"

namespace papayadrift::placement {

namespace {

// Maximum random draws per requested worker, since draws may repeat.
constexpr size_t kDrawsPerWorker = 2;

}  // namespace

CandidateIndex::CandidateIndex(uint64_t seed) : random_(seed) {}

void CandidateIndex::Update(uint32_t worker,
                            int64_t free_millicores,
                            bool has_accelerators) {
  if (worker >= entries_.size()) {
    entries_.resize(worker + 1);
  }
  IndexEntry& entry = entries_[worker];
  const uint32_t bucket = BucketOf(free_millicores);
  if (entry.is_indexed && entry.bucket == bucket &&
      entry.has_accelerators == has_accelerators) {
    return;
  }
  Remove(worker);
  std::vector<uint32_t>& workers = groups_[has_accelerators ? 1 : 0][bucket];
  entry = {true, has_accelerators, bucket,
           static_cast<uint32_t>(workers.size())};
  workers.push_back(worker);
}

void CandidateIndex::Remove(uint32_t worker) {
  if (worker >= entries_.size() || !entries_[worker].is_indexed) {
    return;
  }
  IndexEntry& entry = entries_[worker];
  auto& workers = groups_[entry.has_accelerators ? 1 : 0][entry.bucket];
  workers[entry.position] = workers.back();
  entries_[workers.back()].position = entry.position;
  workers.pop_back();
  entry.is_indexed = false;
}

std::vector<uint32_t> CandidateIndex::Draw(const Resources& need,
                                           size_t count) {
  std::vector<uint32_t> drawn;
  const uint32_t lowest = BucketOf(need.millicores);
  if (need.accelerators == 0) {
    DrawFrom(groups_[0], lowest, count, drawn);
  }
  if (drawn.empty()) {
    DrawFrom(groups_[1], lowest, count, drawn);
  }
  return drawn;
}

std::vector<uint32_t> CandidateIndex::DrawAny(bool with_accelerators,
                                              size_t count) {
  std::vector<uint32_t> drawn;
  if (!with_accelerators) {
    DrawFrom(groups_[0], 0, count, drawn);
  }
  if (drawn.empty()) {
    DrawFrom(groups_[1], 0, count, drawn);
  }
  return drawn;
}

uint32_t CandidateIndex::BucketOf(int64_t millicores) {
  const int64_t bucket = millicores < 0 ? 0 : millicores / kMillicoresPerBucket;
  return static_cast<uint32_t>(
      std::min(bucket, static_cast<int64_t>(kBuckets) - 1));
}

void CandidateIndex::DrawFrom(const Group& group,
                              uint32_t lowest,
                              size_t count,
                              std::vector<uint32_t>& drawn) {
  size_t total = 0;
  for (const auto& workers : group | std::views::drop(lowest)) {
    total += workers.size();
  }
  if (total <= count) {
    for (const auto& workers : group | std::views::drop(lowest)) {
      drawn.insert(drawn.end(), workers.begin(), workers.end());
    }
    return;
  }
  for (size_t i = 0; i < kDrawsPerWorker * count && drawn.size() < count; ++i) {
    size_t n = random_(static_cast<uint32_t>(total));
    for (const auto& workers : group | std::views::drop(lowest)) {
      if (n < workers.size()) {
        if (std::ranges::find(drawn, workers[n]) == drawn.end()) {
          drawn.push_back(workers[n]);
        }
        break;
      }
      n -= workers.size();
    }
  }
}

}  // namespace papayadrift::placement
