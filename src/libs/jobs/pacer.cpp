#include "jobs/pacer.h"

#include <algorithm>

namespace papayadrift::jobs {
namespace {

// Shares of the target, in percent, above which fillers slow down and below
// which they speed up. The gauge is a rough figure of the last half second.
constexpr int64_t kSlowDownAbove = 85;
constexpr int64_t kSpeedUpBelow = 60;
// A change shows in the gauge after it took effect (100 ms) and its window of
// half a second has passed.
constexpr milliseconds kSettleTime(700);
constexpr uint32_t kRisePercent = 25;
constexpr uint32_t kFullPercent = 100;
// Below this a filler is as good as stopped.
constexpr uint32_t kSmallestPercent = 10;

}  // namespace

uint32_t Pacer::Decide(const RunnerLife& life,
                       const std::vector<Tail>& tails,
                       Instant now) {
  State& state = states_[life];
  const auto is_above = [](int64_t percent) {
    return [percent](const Tail& tail) {
      return tail.latency_ms * 100 > tail.target_ms * percent;
    };
  };
  if (now - state.changed_at < kSettleTime && state.percent < kFullPercent) {
    return state.percent;
  }
  if (std::ranges::any_of(tails, is_above(kSlowDownAbove))) {
    if (state.percent > 0) {
      state.percent /= 2;
      if (state.percent < kSmallestPercent) {
        state.percent = 0;
      }
      state.changed_at = now;
    }
  } else if (state.percent < kFullPercent &&
             std::ranges::none_of(tails, is_above(kSpeedUpBelow))) {
    state.percent = std::min(kFullPercent, state.percent + kRisePercent);
    state.changed_at = now;
  }
  return state.percent;
}

}  // namespace papayadrift::jobs
