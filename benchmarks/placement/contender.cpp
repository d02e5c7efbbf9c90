#include "contender.h"

#include "oracle.h"
#include "placement/declared_usage.h"
#include "placement/learned_interference.h"
#include "placement/learned_usage.h"
#include "placement/no_interference.h"

namespace papayadrift::placement {

std::string_view NameOf(Contender contender) {
  switch (contender) {
    case Contender::kLearning:
      return "learning";
    case Contender::kBestFit:
      return "best_fit";
    case Contender::kBlind:
      return "blind";
    case Contender::kNoOvercommit:
      return "no_overcommit";
    case Contender::kOracle:
      return "oracle";
  }
  return "";
}

std::unique_ptr<Scheduler> Make(Contender contender,
                                const CustomerTruth& truth,
                                double peak_load,
                                uint64_t seed) {
  Settings settings;
  settings.seed = seed;
  switch (contender) {
    case Contender::kLearning:
      break;
    case Contender::kBestFit:
      settings.rule = PlacementRule::kTightestFit;
      settings.has_remedies = false;
      settings.has_regrants = false;
      return std::make_unique<Scheduler>(settings,
                                         std::make_unique<DeclaredUsage>(),
                                         std::make_unique<NoInterference>());
    case Contender::kBlind:
      return std::make_unique<Scheduler>(settings,
                                         std::make_unique<LearnedUsage>(),
                                         std::make_unique<NoInterference>());
    case Contender::kNoOvercommit:
      settings.has_regrants = false;
      return std::make_unique<Scheduler>(
          settings, std::make_unique<DeclaredUsage>(),
          std::make_unique<LearnedInterference>());
    case Contender::kOracle:
      return std::make_unique<Scheduler>(
          settings, std::make_unique<TrueUsage>(truth),
          std::make_unique<TrueInterference>(truth, peak_load));
  }
  return MakeLearningScheduler(settings);
}

}  // namespace papayadrift::placement
