#ifndef PAPAYADRIFT_BENCHMARKS_PLACEMENT_SCENARIO_H_
#define PAPAYADRIFT_BENCHMARKS_PLACEMENT_SCENARIO_H_

#include <span>
#include <string_view>

#include "base/instant.h"

namespace papayadrift::placement {

// Faults and load changes of one run.
struct Scenario {
  std::string_view name;
  double declared_spread = 3;       // Largest error of declared sizes.
  bool shifts_load = false;         // Hot and cold zones swap half-way.
  bool has_noisy_waves = false;     // Of the most harmful kind, every 20 min.
  bool cancels_most = false;        // 70 % of the jobs, half-way.
  bool loses_rack = false;          // Half-way, for 20 min.
  bool has_failing_worker = false;  // Fails every task for an hour.
  // All entries are replaced half-way; only the time after that is measured.
  bool replaces_entries = false;
  bool keeps_knowledge = true;  // In the log.
  microseconds report_lag = seconds(15);
  int reports_lost_percent = 0;
  int reports_wrong_percent = 0;
};

std::span<const Scenario> AllScenarios();

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_BENCHMARKS_PLACEMENT_SCENARIO_H_
