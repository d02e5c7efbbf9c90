#include "jobs/pace_plan.h"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace papayadrift::jobs {
namespace {

// Part of the target that the tail is kept below: the gauge is rough, and waves
// rise between two reports.
constexpr double kLimitPart = 0.7;
// Fillers of less weight are left alone: at full use of a runner they would
// raise a tail by two thirds.
constexpr double kHarmlessWeight = 0.5;
// Paces are given in steps, so that small changes of the gauge cost no orders.
constexpr uint32_t kStepPercent = 10;
constexpr uint32_t kFullPercent = 100;

double CapacityOf(const Runner& runner) {
  return static_cast<double>(
      std::max<int64_t>(1, runner.report.capacity.millicores));
}

// Share of the runner that a filler uses at full pace.
double FullShare(const Runner& runner, const Run& run) {
  return static_cast<double>(run.need.millicores) / CapacityOf(runner);
}

double FullEffect(const Runner& runner,
                  const Interference& interference,
                  const ServingState& serving) {
  double effect = 0;
  for (const Run& run : runner.runs | std::views::values) {
    if (run.is_filler && !run.is_withdrawn) {
      effect += interference.Weight(serving.image, run.image) *
                FullShare(runner, run);
    }
  }
  return effect;
}

}  // namespace

std::vector<FillerUse> FillerUsesOf(const Runner& runner) {
  std::map<std::string, double> shares;
  for (const Run& run : runner.runs | std::views::values) {
    if (run.is_filler && run.is_accepted) {
      shares[run.image] +=
          static_cast<double>(run.gauge) / CapacityOf(runner);
    }
  }
  std::vector<FillerUse> uses;
  std::ranges::transform(shares, std::back_inserter(uses),
                         [](const auto& it) {
                           return FillerUse{it.first, it.second};
                         });
  return uses;
}

std::vector<ServingState> ServingStatesOf(const Runner& runner,
                                          const Interference& interference) {
  const std::vector<FillerUse> uses = FillerUsesOf(runner);
  std::vector<ServingState> states;
  for (const Run& run : runner.runs | std::views::values) {
    if (!run.is_serving || !run.is_accepted || run.gauge <= 0) {
      continue;
    }
    ServingState state{
        run.image, std::log(static_cast<double>(run.gauge)),
        std::log(kLimitPart * static_cast<double>(run.tail_target_ms))};
    for (const FillerUse& use : uses) {
      state.calm_log_tail -=
          interference.Weight(run.image, use.image) * use.share;
    }
    states.push_back(std::move(state));
  }
  return states;
}

std::map<TaskKey, uint32_t> PlanPaces(const Runner& runner,
                                      const Interference& interference) {
  std::map<TaskKey, double> paces;
  for (const auto& [task, run] : runner.runs) {
    if (run.is_filler && run.is_accepted && !run.is_withdrawn) {
      paces[task] = 1.0;
    }
  }
  for (const ServingState& serving :
       ServingStatesOf(runner, interference)) {
    const double effect = FullEffect(runner, interference, serving);
    const double budget = serving.log_limit - serving.calm_log_tail;
    if (effect <= budget) {
      continue;
    }
    const double part = std::max(0.0, budget / effect);
    for (auto& [task, pace] : paces) {
      if (interference.Weight(serving.image, runner.runs.at(task).image) >
          kHarmlessWeight) {
        pace = std::min(pace, part);
      }
    }
  }
  std::map<TaskKey, uint32_t> percents;
  for (const auto& [task, pace] : paces) {
    percents[task] =
        static_cast<uint32_t>(pace * kFullPercent) / kStepPercent *
        kStepPercent;
  }
  return percents;
}

double ExcessWith(const Runner& runner,
                  const Interference& interference,
                  const std::string& image,
                  double share) {
  double excess = 0;
  for (const ServingState& serving :
       ServingStatesOf(runner, interference)) {
    const double added = interference.Weight(serving.image, image) * share;
    const double room = serving.log_limit - serving.calm_log_tail -
                        FullEffect(runner, interference, serving);
    excess += std::clamp(added - std::max(0.0, room), 0.0, added);
  }
  return excess;
}

}  // namespace papayadrift::jobs
