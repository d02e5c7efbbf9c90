#include "scheduler_variant.h"

#include "oracle.h"
#include "placement/declared_usage.h"
#include "placement/learned_interference.h"
#include "placement/learned_usage.h"
#include "placement/no_interference.h"

namespace papayadrift::placement {

std::string_view NameOf(SchedulerVariant variant) {
  switch (variant) {
    case SchedulerVariant::kLearning:
      return "learning";
    case SchedulerVariant::kBestFit:
      return "best_fit";
    case SchedulerVariant::kInterferenceUnaware:
      return "blind";
    case SchedulerVariant::kNoOvercommit:
      return "no_overcommit";
    case SchedulerVariant::kOracle:
      return "oracle";
  }
  return "";
}

std::unique_ptr<Scheduler> Make(SchedulerVariant variant,
                                const CustomerWorkload& workload,
                                double peak_load,
                                uint64_t seed) {
  Settings settings;
  settings.seed = seed;
  switch (variant) {
    case SchedulerVariant::kLearning:
      break;
    case SchedulerVariant::kBestFit:
      settings.rule = PlacementRule::kTightestFit;
      settings.has_mitigation = false;
      settings.has_grant_adjustment = false;
      return std::make_unique<Scheduler>(settings,
                                         std::make_unique<DeclaredUsage>(),
                                         std::make_unique<NoInterference>());
    case SchedulerVariant::kInterferenceUnaware:
      return std::make_unique<Scheduler>(settings,
                                         std::make_unique<LearnedUsage>(),
                                         std::make_unique<NoInterference>());
    case SchedulerVariant::kNoOvercommit:
      settings.has_grant_adjustment = false;
      return std::make_unique<Scheduler>(
          settings, std::make_unique<DeclaredUsage>(),
          std::make_unique<LearnedInterference>());
    case SchedulerVariant::kOracle:
      return std::make_unique<Scheduler>(
          settings, std::make_unique<TrueUsage>(workload),
          std::make_unique<TrueInterference>(workload, peak_load));
  }
  return MakeLearningScheduler(settings);
}

}  // namespace papayadrift::placement
