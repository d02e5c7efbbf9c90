#include "measures.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace papayadrift::placement {

namespace {

// A class of a runner's requests: fraction, latency without neighbours, and
// sensitivity to neighbours.
struct Part {
  double weight;
  double latency;
  double sensitivity;
};

constexpr auto kParts = std::to_array<Part>({
    {0.25, 0.20, 0.15},
    {0.25, 0.30, 0.25},
    {0.25, 0.40, 0.35},
    {0.15, 0.55, 0.50},
    {0.08, 0.80, 0.80},
    {0.017, 1.00, 1.00},
    {0.0025, 1.25, 1.30},
    {0.0005, 1.60, 1.60},
});
constexpr double kLoadEffect = 0.3;

double BaseOf(double load) {
  return 1 + kLoadEffect * load * load;
}

}  // namespace

Measures MeanOf(const std::vector<Measures>& runs) {
  const double n = static_cast<double>(runs.size());
  Measures mean;
  for (const Measures& it : runs) {
    mean.p50_slowdown += it.p50_slowdown / n;
    mean.p99_slowdown += it.p99_slowdown / n;
    mean.p999_slowdown += it.p999_slowdown / n;
    mean.core_hours_per_hour += it.core_hours_per_hour / n;
    mean.evictions_per_hour += it.evictions_per_hour / n;
    mean.lost_core_hours += it.lost_core_hours / n;
    mean.median_start_seconds += it.median_start_seconds / n;
    mean.violations += it.violations;
  }
  return mean;
}

double PartOfWay(double from, double to, double figure, bool more_is_better) {
  const double sign = more_is_better ? 1 : -1;
  const double whole = sign * (to - from);
  const double achieved = sign * (figure - from);
  constexpr double kNegligible = 1e-9;
  if (whole <= kNegligible) {
    return achieved >= 0 ? 1.0 : 0.0;
  }
  return achieved / whole;
}

void LatencySample::Add(double requests, double load, double extra_slowdown) {
  for (const Part& part : kParts) {
    const double base = part.latency * BaseOf(load);
    const double weight = requests * part.weight;
    without_.push_back({base, weight});
    with_.push_back({base * (1 + part.sensitivity * extra_slowdown), weight});
  }
}

double LatencySample::Slowdown(double quantile) {
  return Quantile(with_, quantile) / Quantile(without_, quantile);
}

double LatencySample::Quantile(std::vector<Point>& points, double quantile) {
  std::ranges::sort(points, {}, &Point::latency);
  const double total = std::accumulate(
      points.begin(), points.end(), 0.0,
      [](double sum, const Point& it) { return sum + it.weight; });
  double seen = 0;
  for (const Point& it : points) {
    seen += it.weight;
    if (seen >= quantile * total) {
      return it.latency;
    }
  }
  return points.back().latency;
}

double TailOf(double load, double extra_slowdown) {
  return BaseOf(load) * (1 + extra_slowdown);
}

}  // namespace papayadrift::placement
