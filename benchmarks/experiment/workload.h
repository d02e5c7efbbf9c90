#ifndef PAPAYADRIFT_BENCHMARKS_EXPERIMENT_WORKLOAD_H_
#define PAPAYADRIFT_BENCHMARKS_EXPERIMENT_WORKLOAD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/instant.h"
#include "base/resources.h"
#include "jobs/job.h"
#include "jobs/route_table.h"
#include "settings/problem.h"

// The simulated workload: a fleet, and jobs of three kinds that are submitted
// to it.

namespace papayadrift::experiment {

// Jobs of one kind. Their sizes, widths and durations vary around the means.
struct JobMix {
  double per_second = 0;
  uint32_t at_start = 0;  // Submitted together at the start.
  uint32_t images = 0;
  double steps = 1;
  double width = 1;
  uint32_t max_width = 1;
  int64_t millicores = 0;
  int64_t memory_mebibytes = 0;
  milliseconds duration{0};
  double target_factor = 2;
  milliseconds target_extra{0};

  friend bool operator==(const JobMix&, const JobMix&) = default;
};

// The load of tasks that serve users, and how batch work interferes with them.
struct Sensitivity {
  // Mean load of a serving task, as a fraction of its capacity.
  double load = 0;
  double swing = 0;  // Relative amplitude of the load.
  milliseconds period{20000};
  int64_t idle_tail_ms = 25;  // Without load or interference.
  int64_t target_ms = 150;
  double noise = 0.1;  // Relative error of one gauge.
  uint32_t kinds = 3;  // Of shared hardware that fillers load.
  // Fraction of the pairs of images that interfere.
  double interfering_share = 0.55;
  // Range of the load that a filler of an interfering pair adds if it uses a
  // whole runner.
  double min_interference = 1;
  double max_interference = 2.3;

  friend bool operator==(const Sensitivity&, const Sensitivity&) = default;
};

struct Workload {
  uint32_t runners = 0;
  uint32_t runners_per_rack = 1;
  Resources capacity;
  milliseconds length{34000};
  // Factor on the rate of batch jobs during the burst.
  double burst_factor = 1;
  milliseconds burst_at{0};
  milliseconds burst_for{0};
  double lost_orders = 0;  // Fraction of the orders that are executed late.
  double crashes_per_minute = 0;
  Sensitivity sensitivity;
  JobMix services;
  JobMix batch;
  JobMix urgent;

  friend bool operator==(const Workload&, const Workload&) = default;
};

// Reads a workload from INI text; returns std::nullopt and adds to `problems`
// if it is invalid.
std::optional<Workload> ReadWorkload(const std::string& text,
                                     std::vector<settings::Problem>& problems);

// The true interference, which a policy has to learn: known to the emulation
// only.
struct GroundTruth {
  // Added load, by images of the serving task and the filler.
  std::map<std::pair<std::string, std::string>, double> interference;

  double InterferenceOf(const std::string& serving,
                        const std::string& filler) const;
};

struct Arrival {
  milliseconds at{0};  // After the start.
  JobId id;
  jobs::Job job;
  // Duration of each task at full pace, by step and index.
  std::vector<std::vector<milliseconds>> durations;

  friend bool operator==(const Arrival&, const Arrival&) = default;
};

GroundTruth MakeGroundTruth(const Workload& workload, uint64_t seed);
// Returns the jobs of a simulation, ordered by arrival time.
std::vector<Arrival> MakeArrivals(const Workload& workload, uint64_t seed);
jobs::RouteTable MakeRoutes(const Workload& workload);

inline constexpr char kService[] = "service";
inline constexpr char kServicesQueue[] = "services";
inline constexpr char kBatchQueue[] = "batch";
inline constexpr char kUrgentQueue[] = "urgent";

}  // namespace papayadrift::experiment

#endif  // PAPAYADRIFT_BENCHMARKS_EXPERIMENT_WORKLOAD_H_
