#ifndef PAPAYADRIFT_BENCHMARKS_PLACEMENT_MEASURES_H_
#define PAPAYADRIFT_BENCHMARKS_PLACEMENT_MEASURES_H_

#include <cstdint>
#include <vector>

namespace papayadrift::placement {

// Results of one run, or means over several.
struct Measures {
  double p50_slowdown = 0;
  double p99_slowdown = 0;
  double p999_slowdown = 0;
  double core_hours_per_hour = 0;  // Of batch work that finished.
  double evictions_per_hour = 0;   // For services, urgent work and quotas.
  double lost_core_hours = 0;      // Work that was or will be repeated.
  double median_start_seconds = 0;
  uint64_t violations = 0;  // Claims or grants above a VM's capacity.

  friend bool operator==(const Measures&, const Measures&) = default;
};

Measures MeanOf(const std::vector<Measures>& runs);

// Returns the position of `figure` between `from` (0) and `to` (1). If the
// oracle is no better than best fit, returns 1 for figures no worse than best
// fit.
double PartOfWay(double from, double to, double figure, bool more_is_better);

// Latencies of requests, weighted by their number.
class LatencySample {
 public:
  // Adds the requests of one runner for one step.
  void Add(double requests, double load, double extra_slowdown);

  // Returns the quantile relative to that of the same requests without
  // neighbours.
  double Slowdown(double quantile);

 private:
  struct Point {
    double latency = 0;
    double weight = 0;
  };

  static double Quantile(std::vector<Point>& points, double quantile);

  std::vector<Point> with_;
  std::vector<Point> without_;
};

// Returns the p99 in units of the p99 without load and neighbours.
double TailOf(double load, double extra_slowdown);

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_BENCHMARKS_PLACEMENT_MEASURES_H_
