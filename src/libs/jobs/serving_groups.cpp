#include "jobs/serving_groups.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <ranges>

namespace papayadrift::jobs {
namespace {

// The share of its requested processors that a serving task uses at its usual
// load.
constexpr int64_t kServingUsePercent = 50;

int64_t ExpectedUse(const Resources& need) {
  return need.millicores * kServingUsePercent / 100;
}

std::vector<const std::string*> ServingImages(const Runner& runner,
                                              const TaskKey* without) {
  std::vector<const std::string*> images;
  for (const auto& [task, run] : runner.runs) {
    if (run.is_serving && !run.is_withdrawn &&
        (without == nullptr || task != *without)) {
      images.push_back(&run.image);
    }
  }
  return images;
}

double UsableOf(const Runner& runner,
                const Interference& interference,
                const std::vector<const std::string*>& images,
                int64_t millicores_for_fillers) {
  const auto capacity = static_cast<double>(
      std::max<int64_t>(1, runner.report.capacity.millicores));
  const double left =
      static_cast<double>(std::max<int64_t>(0, millicores_for_fillers)) /
      capacity;
  return left * (1 - SlowedShare(interference, images));
}

// Returns the millicores that fillers could use if there were none yet.
int64_t MillicoresForAllFillers(const Runner& runner) {
  return MillicoresForFillers(runner) + runner.FillerMillicores();
}

}  // namespace

double SlowedShare(const Interference& interference,
                   const std::vector<const std::string*>& images) {
  if (images.empty()) {
    return 0;
  }
  std::vector<double> sums;
  for (const std::string* image : images) {
    const std::vector<double>& sensitivity = interference.SensitivityOf(*image);
    sums.resize(std::max(sums.size(), sensitivity.size()), 0.0);
    std::ranges::transform(sensitivity, sums, sums.begin(), std::plus<>());
  }
  if (sums.empty()) {
    return 0;
  }
  const auto count = static_cast<double>(images.size());
  // The root counts a few sensitive tasks among many for more than their
  // number.
  const double total = std::accumulate(
      sums.begin(), sums.end(), 0.0,
      [count](double sum, double it) { return sum + std::sqrt(it / count); });
  return total / static_cast<double>(sums.size());
}

int64_t MillicoresForFillers(const Runner& runner) {
  const RunTotals& totals = runner.runs.totals();
  return runner.report.capacity.millicores - totals.filler_millicores -
         totals.other_millicores -
         totals.serving_millicores * kServingUsePercent / 100;
}

double UsableByFillers(const Runner& runner, const Interference& interference) {
  return UsableOf(runner, interference, ServingImages(runner, nullptr),
                  MillicoresForAllFillers(runner));
}

double UsableByFillersWith(const Runner& runner,
                           const Interference& interference,
                           const std::string& image,
                           const Resources& need) {
  std::vector<const std::string*> images = ServingImages(runner, nullptr);
  images.push_back(&image);
  return UsableOf(runner, interference, images,
                  MillicoresForAllFillers(runner) - ExpectedUse(need));
}

double UsableByFillersWithout(const Runner& runner,
                              const Interference& interference,
                              const TaskKey& task) {
  const auto it = runner.runs.find(task);
  const int64_t freed =
      it == runner.runs.end() ? 0 : ExpectedUse(it->second.need);
  return UsableOf(runner, interference, ServingImages(runner, &task),
                  MillicoresForAllFillers(runner) + freed);
}

bool IsMisplaced(const Runner& runner,
                 const Interference& interference,
                 const TaskKey& task) {
  // Smaller differences are within the error of the weights.
  constexpr double kMinDifference = 0.02;
  return SlowedShare(interference, ServingImages(runner, nullptr)) -
             SlowedShare(interference, ServingImages(runner, &task)) >=
         kMinDifference;
}

}  // namespace papayadrift::jobs
