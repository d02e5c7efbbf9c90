#include "jobs/duration_book.h"

#include <algorithm>

#include "base/lookup.h"

namespace papayadrift::jobs {
namespace {

// Runs after which the mean goes before the estimate, and over which it
// forgets.
constexpr int64_t kEnoughRuns = 3;
constexpr int64_t kMemoryRuns = 50;

}  // namespace

std::string DurationBook::KeyOf(const std::string& queue, const Step& step) {
  return step.image.empty() ? "queue/" + queue : "image/" + step.image;
}

void DurationBook::Observe(const std::string& queue,
                           const Step& step,
                           int64_t ms) {
  Mean& mean = means_[KeyOf(queue, step)];
  mean.runs = std::min(mean.runs + 1, kMemoryRuns);
  mean.ms +=
      (static_cast<double>(ms) - mean.ms) / static_cast<double>(mean.runs);
}

int64_t DurationBook::Expect(const std::string& queue, const Step& step) const {
  const Mean* mean = FindOrNull(means_, KeyOf(queue, step));
  return mean == nullptr || mean->runs < kEnoughRuns
             ? step.estimated_ms
             : static_cast<int64_t>(mean->ms);
}

}  // namespace papayadrift::jobs
