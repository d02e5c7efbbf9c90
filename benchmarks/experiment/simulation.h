#ifndef PAPAYADRIFT_BENCHMARKS_EXPERIMENT_SIMULATION_H_
#define PAPAYADRIFT_BENCHMARKS_EXPERIMENT_SIMULATION_H_

#include <cstdint>

#include "jobs/job_scheduler.h"
#include "measures.h"
#include "workload.h"

namespace papayadrift::experiment {

// A variant of the scheduling policy.
struct Variant {
  jobs::JobSchedulerSettings settings;
  bool knows_truth = false;  // The true weights are known from the start.

  friend bool operator==(const Variant&, const Variant&) = default;
};

// Simulates a fleet of emulated runners on a manual clock. Deterministic.
Measures RunSimulation(const Workload& workload,
                       const Variant& variant,
                       uint64_t seed);

}  // namespace papayadrift::experiment

#endif  // PAPAYADRIFT_BENCHMARKS_EXPERIMENT_SIMULATION_H_
