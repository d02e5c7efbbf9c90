#ifndef PAPAYADRIFT_BENCHMARKS_PLACEMENT_CONTENDER_H_
#define PAPAYADRIFT_BENCHMARKS_PLACEMENT_CONTENDER_H_

#include <memory>
#include <string_view>

#include "placement/scheduler.h"
#include "truth.h"

namespace papayadrift::placement {

// The scheduler under test, and what it is compared with in the same run.
enum class Contender {
  kLearning,      // Under test.
  kBestFit,       // Declared sizes, tightest fit, no remedies.
  kBlind,         // Learns use, knows nothing of interference.
  kNoOvercommit,  // Declared sizes, learns interference.
  kOracle,        // Knows true use and interference; reports are not late.
};

constexpr Contender kContenders[] = {
    Contender::kLearning, Contender::kBestFit, Contender::kBlind,
    Contender::kNoOvercommit, Contender::kOracle};

std::string_view NameOf(Contender contender);

std::unique_ptr<Scheduler> Make(Contender contender,
                                const CustomerTruth& truth,
                                double peak_load,
                                uint64_t seed);

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_BENCHMARKS_PLACEMENT_CONTENDER_H_
