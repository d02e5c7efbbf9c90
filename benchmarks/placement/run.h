#ifndef PAPAYADRIFT_BENCHMARKS_PLACEMENT_RUN_H_
#define PAPAYADRIFT_BENCHMARKS_PLACEMENT_RUN_H_

#include "contender.h"
#include "measures.h"
#include "scenario.h"
#include "truth.h"

namespace papayadrift::placement {

// Runs one scenario for two hours of the manual clock.
Measures Run(Contender contender,
             const CustomerTruth& truth,
             const Scenario& scenario,
             uint64_t seed);

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_BENCHMARKS_PLACEMENT_RUN_H_
