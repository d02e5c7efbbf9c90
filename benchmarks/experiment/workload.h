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

// What is played: a fleet, and jobs of three kinds that come to it.

namespace papayadrift::experiment {

// Jobs of one kind. Their sizes, widths and durations vary about the means.
struct JobMix {
  double per_second = 0;
  uint32_t at_start = 0;  // Handed in together when the day begins.
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

// How tasks that serve users behave, and how batch work disturbs them.
struct Sensitivity {
  double load = 0;   // Mean share of what a serving task can take.
  double swing = 0;  // Part of the load by which it rises and falls.
  milliseconds period{20000};
  int64_t idle_tail_ms = 25;  // Without load or disturbance.
  int64_t target_ms = 150;
  double noise = 0.1;               // Relative deviation of one gauge.
  uint32_t kinds = 3;               // Of shared hardware that fillers press on.
  double interfering_share = 0.55;  // Part of the pairs of images that disturb.
  // Load that a filler of a heavy pair adds if it has a whole runner: the least
  // and the most.
  double min_interference = 1;
  double max_interference = 2.3;

  friend bool operator==(const Sensitivity&, const Sensitivity&) = default;
};

struct Workload {
  uint32_t runners = 0;
  uint32_t runners_per_rack = 1;
  Resources capacity;
  milliseconds length{34000};
  // Batch work comes this many times as often between two moments.
  double burst_factor = 1;
  milliseconds burst_at{0};
  milliseconds burst_for{0};
  double lost_orders = 0;  // Part of the orders that are carried out late.
  double crashes_per_minute = 0;
  Sensitivity sensitivity;
  JobMix services;
  JobMix batch;
  JobMix urgent;

  friend bool operator==(const Workload&, const Workload&) = default;
};

// Reads a workload from INI text; nothing, and `problems`, if it is wrong.
std::optional<Workload> ReadWorkload(const std::string& text,
                                     std::vector<settings::Problem>& problems);

// What a policy has to find out: known to the emulation only.
struct GroundTruth {
  // Load by images of the serving task and the filler.
  std::map<std::pair<std::string, std::string>, double> interference;

  double InterferenceOf(const std::string& serving,
                        const std::string& filler) const;
};

struct Arrival {
  milliseconds at{0};  // After the day has begun.
  JobId id;
  jobs::Job job;
  // Of each task, by step and index, at full pace.
  std::vector<std::vector<milliseconds>> durations;

  friend bool operator==(const Arrival&, const Arrival&) = default;
};

GroundTruth MakeGroundTruth(const Workload& workload, uint64_t seed);
// Returns the jobs of a day by the time at which they come.
std::vector<Arrival> MakeArrivals(const Workload& workload, uint64_t seed);
jobs::RouteTable MakeRoutes(const Workload& workload);

inline constexpr char kService[] = "service";
inline constexpr char kServicesQueue[] = "services";
inline constexpr char kBatchQueue[] = "batch";
inline constexpr char kUrgentQueue[] = "urgent";

}  // namespace papayadrift::experiment

#endif  // PAPAYADRIFT_BENCHMARKS_EXPERIMENT_WORKLOAD_H_
