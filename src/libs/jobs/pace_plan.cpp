#include "jobs/pace_plan.h"

#include <algorithm>
#include <ranges>
#include <tuple>
#include <utility>

namespace papayadrift::jobs {
namespace {

// Weight of a new gauge in the smoothed one, and the fraction of the target
// from which a tail latency counts as over it: gauges are off by about a tenth.
constexpr double kGaugeWeight = 0.5;
constexpr double kOverTargetRatio = 0.95;
// Gauges are updated every half second, and in that time a tail latency covers
// half of its way to the value that a change of load leads to.
constexpr milliseconds kGaugePeriod(450);
constexpr double kGaugeResponse = 0.5;
constexpr double kMinUse = 0.001;
constexpr uint32_t kFullPercent = 100;

double CapacityOf(const Runner& runner) {
  return static_cast<double>(
      std::max<int64_t>(1, runner.report.capacity.millicores));
}

// Share of the runner that a filler uses at full pace.
double FullShare(const Runner& runner, const Run& run) {
  return static_cast<double>(run.need.millicores) / CapacityOf(runner);
}

// Returns how long the serving task that has been over its target longest has
// been so.
milliseconds LongestOverTarget(const Runner& runner, Instant now) {
  milliseconds longest(0);
  for (const Run& run : runner.runs | std::views::values) {
    if (run.over_target_since) {
      longest = std::max(longest, std::chrono::floor<milliseconds>(
                                      now - *run.over_target_since));
    }
  }
  return longest;
}

// Returns the shares that fillers use at full pace, by image.
std::map<std::string, double> FullShares(const Runner& runner) {
  std::map<std::string, double> shares;
  for (const Run& run : runner.runs | std::views::values) {
    if (run.is_filler && !run.is_withdrawn) {
      shares[run.image] += FullShare(runner, run);
    }
  }
  return shares;
}

std::vector<ServingHeadroom> HeadroomsOf(const Runner& runner,
                                         const Interference& interference,
                                         const PaceSettings& settings) {
  const std::map<std::string, double> shares = FullShares(runner);
  std::map<std::string, double> effects;  // By the image of the serving task.
  std::vector<ServingHeadroom> headrooms;
  for (const ServingState& serving : ServingStatesOf(runner, interference)) {
    const auto [it, is_new] = effects.try_emplace(serving.image, 0.0);
    if (is_new) {
      for (const auto& [image, share] : shares) {
        it->second +=
            interference.ConservativeWeight(serving.image, image) * share;
      }
    }
    headrooms.push_back(
        {serving.image, std::max(0.0, serving.baseline_slack -
                                          settings.min_slack - it->second)});
  }
  std::ranges::sort(headrooms, {}, &ServingHeadroom::image);
  return headrooms;
}

using Filler = std::pair<const TaskKey, Run>;

bool IsLight(const std::vector<ServingState>& servings,
             const Interference& interference,
             const PaceSettings& settings,
             const std::string& filler_image) {
  return std::ranges::all_of(servings, [&](const ServingState& serving) {
    return interference.Weight(serving.image, filler_image) <=
           settings.harmless_weight;
  });
}

// Returns the pace at which all these fillers together leave each serving task
// the slack that it keeps beside light fillers.
double CommonPace(const Runner& runner,
                  const std::vector<const Filler*>& fillers,
                  const std::vector<ServingState>& servings,
                  const Interference& interference,
                  const PaceSettings& settings) {
  double pace = 1.0;
  for (const ServingState& serving : servings) {
    double effect = 0;
    for (const Filler* it : fillers) {
      const double weight =
          interference.Weight(serving.image, it->second.image);
      effect += weight > settings.strict_harmless_weight
                    ? weight * FullShare(runner, it->second)
                    : 0;
    }
    if (effect > 0) {
      pace = std::clamp(
          (serving.baseline_slack - settings.light_min_slack) / effect, 0.0,
          pace);
    }
  }
  return pace;
}

}  // namespace

bool StopsAllFillers(const Runner& runner,
                     const PaceSettings& settings,
                     Instant now) {
  return LongestOverTarget(runner, now) >= settings.long_overrun;
}

double SlackOf(const Run& run) {
  return static_cast<double>(run.tail_target_ms) /
         static_cast<double>(std::max<int64_t>(1, run.gauge));
}

void UpdateTail(Run& run, int64_t gauge, Instant now) {
  const auto value = static_cast<double>(gauge);
  run.smoothed_gauge =
      run.smoothed_gauge == 0
          ? value
          : run.smoothed_gauge + kGaugeWeight * (value - run.smoothed_gauge);
  if (run.smoothed_gauge <
      kOverTargetRatio * static_cast<double>(run.tail_target_ms)) {
    run.over_target_since.reset();
  } else if (!run.over_target_since) {
    run.over_target_since = now;
  }
}

void UpdateFillerUses(Runner& runner, Instant now) {
  if (now - runner.filler_uses_at < kGaugePeriod) {
    return;
  }
  runner.filler_uses_at = now;
  for (double& share : runner.filler_uses | std::views::values) {
    share *= 1 - kGaugeResponse;
  }
  for (const Run& run : runner.runs | std::views::values) {
    if (run.is_filler && run.is_accepted) {
      runner.filler_uses[run.image] +=
          kGaugeResponse * static_cast<double>(run.gauge) / CapacityOf(runner);
    }
  }
  std::erase_if(runner.filler_uses,
                [](const auto& use) { return use.second < kMinUse; });
}

std::vector<ServingState> ServingStatesOf(const Runner& runner,
                                          const Interference& interference) {
  std::vector<ServingState> states;
  for (const Run& run : runner.runs | std::views::values) {
    if (!run.is_serving || !run.is_accepted || run.gauge <= 0) {
      continue;
    }
    ServingState state{run.image, SlackOf(run)};
    for (const auto& [image, share] : runner.filler_uses) {
      state.baseline_slack += interference.Weight(run.image, image) * share;
    }
    states.push_back(std::move(state));
  }
  return states;
}

std::map<TaskKey, uint32_t> PlanPaces(const Runner& runner,
                                      const Interference& interference,
                                      const PaceSettings& settings,
                                      Instant now,
                                      int64_t unix_ms) {
  if (StopsAllFillers(runner, settings, now)) {
    std::map<TaskKey, uint32_t> none;
    for (const auto& [task, run] : runner.runs) {
      if (run.is_filler && run.is_accepted && !run.is_withdrawn) {
        none[task] = 0;
      }
    }
    return none;
  }
  const double harmless =
      LongestOverTarget(runner, now) >= settings.short_overrun
          ? settings.strict_harmless_weight
          : settings.harmless_weight;
  std::vector<const std::pair<const TaskKey, Run>*> fillers;
  for (const auto& it : runner.runs) {
    if (it.second.is_filler && it.second.is_accepted &&
        !it.second.is_withdrawn) {
      fillers.push_back(&it);
    }
  }
  std::vector<ServingState> servings = ServingStatesOf(runner, interference);
  const auto light_end =
      std::ranges::partition(fillers, [&](const auto* it) {
        return IsLight(servings, interference, settings, it->second.image);
      }).begin();
  std::map<TaskKey, uint32_t> percents;
  const auto set_pace = [&](const std::pair<const TaskKey, Run>& filler,
                            double pace) {
    percents[filler.first] = static_cast<uint32_t>(pace * kFullPercent) /
                             settings.step_percent * settings.step_percent;
    const double use = FullShare(runner, filler.second) * pace;
    for (ServingState& serving : servings) {
      serving.baseline_slack -=
          interference.Weight(serving.image, filler.second.image) * use;
    }
  };
  const double light_pace = CommonPace(runner, {fillers.begin(), light_end},
                                       servings, interference, settings);
  std::ranges::for_each(fillers.begin(), light_end,
                        [&](const auto* it) { set_pace(*it, light_pace); });
  std::ranges::sort(light_end, fillers.end(), {}, [unix_ms](const auto* it) {
    const Run& run = it->second;
    const int64_t remaining_ms = run.remaining_ms * (100 - run.percent) / 100;
    return std::tuple(unix_ms > run.cutoff_ms,
                      unix_ms + remaining_ms > run.target_ms, run.target_ms,
                      it->first);
  });
  std::ranges::for_each(light_end, fillers.end(), [&](const auto* it) {
    const double share = FullShare(runner, it->second);
    double pace = 1.0;
    for (const ServingState& serving : servings) {
      const double weight =
          interference.Weight(serving.image, it->second.image);
      if (weight > harmless) {
        const double headroom = serving.baseline_slack - settings.min_slack;
        pace = std::clamp(headroom / (weight * share), 0.0, pace);
      }
    }
    set_pace(*it, pace);
  });
  return percents;
}

double ExcessWithFiller(const Runner& runner,
                        const Interference& interference,
                        const PaceSettings& settings,
                        const std::string& image,
                        double share) {
  if (!runner.headrooms) {
    runner.headrooms = HeadroomsOf(runner, interference, settings);
  }
  double excess = 0;
  const std::string* known_image = nullptr;
  double added = 0;
  for (const ServingHeadroom& headroom : *runner.headrooms) {
    if (known_image == nullptr || *known_image != headroom.image) {
      known_image = &headroom.image;
      // Harmless fillers are not slowed, so they need no headroom.
      added =
          interference.Weight(headroom.image, image) <= settings.harmless_weight
              ? 0
              : interference.ConservativeWeight(headroom.image, image) * share;
    }
    excess += std::max(0.0, added - headroom.slack);
  }
  return excess;
}

}  // namespace papayadrift::jobs
