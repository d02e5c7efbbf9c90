#include "jobs/duration_estimator.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <ranges>
#include <utility>

#include "base/lookup.h"

namespace papayadrift::jobs {
namespace {

// Number of runs after which the mean replaces the caller's estimate, and the
// number of runs that the moving mean covers.
constexpr int64_t kMinRuns = 3;
constexpr int64_t kMaxWeightedRuns = 50;
// Number of kinds that are kept: each job may name an image of its own, and the
// memory and the stored record of what was learned are bounded.
constexpr size_t kMaxKinds = 2000;

}  // namespace

int64_t DurationEstimator::Mean::Expect(int64_t estimated_ms) const {
  return runs < kMinRuns ? estimated_ms : static_cast<int64_t>(ms);
}

std::string DurationEstimator::MeanKey(const std::string& queue,
                                       const Step& step) {
  return step.image.empty() ? "queue/" + queue : "image/" + step.image;
}

const std::shared_ptr<DurationEstimator::Mean>& DurationEstimator::Use(
    const std::string& key) {
  if (!means_.contains(key)) {
    ForgetOne();
  }
  std::shared_ptr<Mean>& mean = means_[key];
  if (mean == nullptr) {
    mean = std::make_shared<Mean>();
  }
  mean->used = ++uses_;
  return mean;
}

void DurationEstimator::ForgetOne() {
  if (means_.size() < kMaxKinds) {
    return;
  }
  auto oldest = means_.end();
  for (auto it = means_.begin(); it != means_.end(); ++it) {
    if (it->second.use_count() == 1 &&
        (oldest == means_.end() || it->second->used < oldest->second->used)) {
      oldest = it;
    }
  }
  if (oldest != means_.end()) {
    means_.erase(oldest);
  }
}

void DurationEstimator::Observe(const std::string& queue,
                                const Step& step,
                                int64_t ms) {
  Mean& mean = *Use(MeanKey(queue, step));
  mean.runs = std::min(mean.runs + 1, kMaxWeightedRuns);
  mean.ms +=
      (static_cast<double>(ms) - mean.ms) / static_cast<double>(mean.runs);
}

int64_t DurationEstimator::Expect(const std::string& queue,
                                  const Step& step) const {
  const auto* mean = FindOrNull(means_, MeanKey(queue, step));
  return mean == nullptr ? step.estimated_ms
                         : (*mean)->Expect(step.estimated_ms);
}

std::shared_ptr<const DurationEstimator::Mean> DurationEstimator::MeanOf(
    const std::string& queue,
    const Step& step) {
  return Use(MeanKey(queue, step));
}

std::vector<LearnedDuration> DurationEstimator::Durations() const {
  std::vector<std::pair<uint64_t, LearnedDuration>> by_use;
  for (const auto& [kind, mean] : means_) {
    if (mean->runs > 0) {
      by_use.emplace_back(mean->used,
                          LearnedDuration{kind, mean->ms, mean->runs});
    }
  }
  std::ranges::sort(by_use, std::ranges::greater(),
                    &std::pair<uint64_t, LearnedDuration>::first);
  std::vector<LearnedDuration> durations;
  std::ranges::copy(by_use | std::views::values, std::back_inserter(durations));
  return durations;
}

void DurationEstimator::ImportDurations(
    const std::vector<LearnedDuration>& durations) {
  // The last of them was used least recently.
  for (const LearnedDuration& it : durations | std::views::reverse) {
    if (std::isfinite(it.mean_ms) && it.mean_ms > 0) {
      Mean& mean = *Use(it.kind);
      mean.ms = it.mean_ms;
      mean.runs = std::clamp<int64_t>(it.runs, 1, kMaxWeightedRuns);
    }
  }
}

}  // namespace papayadrift::jobs
