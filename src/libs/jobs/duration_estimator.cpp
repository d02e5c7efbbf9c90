#include "jobs/duration_estimator.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <ranges>

#include "base/lookup.h"

namespace papayadrift::jobs {
namespace {

// Number of runs after which the mean replaces the caller's estimate, and the
// number of runs that the moving mean covers.
constexpr int64_t kMinRuns = 3;
constexpr int64_t kMaxWeightedRuns = 50;

}  // namespace

int64_t DurationEstimator::Mean::Expect(int64_t estimated_ms) const {
  return runs < kMinRuns ? estimated_ms : static_cast<int64_t>(ms);
}

std::string DurationEstimator::MeanKey(const std::string& queue,
                                       const Step& step) {
  return step.image.empty() ? "queue/" + queue : "image/" + step.image;
}

void DurationEstimator::Observe(const std::string& queue,
                                const Step& step,
                                int64_t ms) {
  Mean& mean = means_[MeanKey(queue, step)];
  mean.runs = std::min(mean.runs + 1, kMaxWeightedRuns);
  mean.ms +=
      (static_cast<double>(ms) - mean.ms) / static_cast<double>(mean.runs);
}

int64_t DurationEstimator::Expect(const std::string& queue,
                                  const Step& step) const {
  const Mean* mean = FindOrNull(means_, MeanKey(queue, step));
  return mean == nullptr ? step.estimated_ms : mean->Expect(step.estimated_ms);
}

const DurationEstimator::Mean& DurationEstimator::MeanOf(
    const std::string& queue,
    const Step& step) {
  return means_[MeanKey(queue, step)];
}

std::vector<LearnedDuration> DurationEstimator::Durations() const {
  std::vector<LearnedDuration> durations;
  std::ranges::transform(
      means_ |
          std::views::filter([](const auto& it) { return it.second.runs > 0; }),
      std::back_inserter(durations), [](const auto& it) {
        return LearnedDuration{it.first, it.second.ms, it.second.runs};
      });
  return durations;
}

void DurationEstimator::ImportDurations(
    const std::vector<LearnedDuration>& durations) {
  for (const LearnedDuration& it : durations) {
    if (std::isfinite(it.mean_ms) && it.mean_ms > 0) {
      means_[it.kind] = {it.mean_ms,
                         std::clamp<int64_t>(it.runs, 1, kMaxWeightedRuns)};
    }
  }
}

}  // namespace papayadrift::jobs
