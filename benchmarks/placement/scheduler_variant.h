#ifndef PAPAYADRIFT_BENCHMARKS_PLACEMENT_SCHEDULER_VARIANT_H_
#define PAPAYADRIFT_BENCHMARKS_PLACEMENT_SCHEDULER_VARIANT_H_

#include <memory>
#include <string_view>

#include "customer_workload.h"
#include "placement/scheduler.h"

namespace papayadrift::placement {

// The scheduler under test and the variants it is compared with.
enum class SchedulerVariant {
  kLearning,             // Under test.
  kBestFit,              // Declared sizes, tightest fit, no mitigation.
  kInterferenceUnaware,  // Learns usage, ignores interference.
  kNoOvercommit,         // Declared sizes, learns interference.
  kOracle,  // Knows the actual usage and interference; its reports are not
            // delayed.
};

constexpr SchedulerVariant kSchedulerVariants[] = {
    SchedulerVariant::kLearning, SchedulerVariant::kBestFit,
    SchedulerVariant::kInterferenceUnaware, SchedulerVariant::kNoOvercommit,
    SchedulerVariant::kOracle};

std::string_view NameOf(SchedulerVariant variant);

std::unique_ptr<Scheduler> Make(SchedulerVariant variant,
                                const CustomerWorkload& workload,
                                double peak_load,
                                uint64_t seed);

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_BENCHMARKS_PLACEMENT_SCHEDULER_VARIANT_H_
