#ifndef PAPAYADRIFT_BENCHMARKS_PLACEMENT_RUN_H_
#define PAPAYADRIFT_BENCHMARKS_PLACEMENT_RUN_H_

#include "customer_workload.h"
#include "measures.h"
#include "scenario.h"
#include "scheduler_variant.h"

namespace papayadrift::placement {

// Runs one scenario for two hours of the manual clock.
Measures Run(SchedulerVariant variant,
             const CustomerWorkload& workload,
             const Scenario& scenario,
             uint64_t seed);

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_BENCHMARKS_PLACEMENT_RUN_H_
