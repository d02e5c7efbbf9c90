#include "jobs/capacity_forecast.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace papayadrift::jobs {
namespace {

constexpr int64_t kWholePercent = 100;
// Progress from which the speed of a run can be estimated.
constexpr int64_t kMinMeasuredPercent = 15;
// A run without an estimate takes this much longer at least.
constexpr milliseconds kMinUnknownRest(1000);
// Ends are noticed with a report, so that a run that is about to end takes this
// much longer at least.
constexpr milliseconds kMinRest(50);
// Time in which runners stop a run that is withdrawn.
constexpr milliseconds kStopTime(1300);

Instant BeginOf(const Run& run) {
  return run.listed_since != Instant() ? run.listed_since
         : run.started_at != Instant() ? run.started_at
                                       : run.claimed_at;
}

// Returns when the run ends if all is as expected; it may be in the past.
// std::nullopt if nothing is known.
std::optional<Instant> PlannedEnd(const Run& run) {
  const Instant begin = BeginOf(run);
  const int64_t done = int64_t{run.percent} - int64_t{run.first_percent};
  const int64_t rest = kWholePercent - int64_t{run.percent};
  if (done >= kMinMeasuredPercent && run.progressed_at > begin && rest >= 0) {
    return run.progressed_at + (run.progressed_at - begin) * rest / done;
  }
  if (run.expected_ms <= 0) {
    return std::nullopt;
  }
  const int64_t share = kWholePercent - int64_t{run.first_percent};
  return begin + milliseconds(run.expected_ms * share / run.pace_percent);
}

}  // namespace

std::optional<Instant> ExpectedEnd(const Run& run, Instant now) {
  if (run.is_withdrawn) {
    const Instant end = run.withdrawn_at + kStopTime;
    return end > now ? end : now + std::max<microseconds>(now - end, kMinRest);
  }
  if (run.is_long_running || run.is_serving || run.pace_percent == 0) {
    return std::nullopt;
  }
  const std::optional<Instant> planned = PlannedEnd(run);
  if (!planned) {
    return now + std::max<microseconds>(now - BeginOf(run), kMinUnknownRest);
  }
  return *planned > now
             ? *planned
             : now + std::max<microseconds>(now - *planned, kMinRest);
}

CapacityForecast ForecastOf(const Runner& runner, Instant now) {
  std::vector<std::pair<Instant, Resources>> releases;
  for (const Run& run : runner.runs | std::views::values) {
    if (const auto end = ExpectedEnd(run, now)) {
      Resources freed = run.need;
      if (run.is_filler) {
        freed.millicores = 0;
      }
      releases.emplace_back(*end, freed);
    }
  }
  std::ranges::stable_sort(releases, {}, &std::pair<Instant, Resources>::first);
  CapacityForecast forecast{{now, runner.report.capacity - runner.Used()}};
  for (const auto& [end, freed] : releases) {
    const Resources free = forecast.back().free + freed;
    if (forecast.back().at == end) {
      forecast.back().free = free;
    } else {
      forecast.push_back({end, free});
    }
  }
  return forecast;
}

std::optional<CapacityStep> EarliestFit(const CapacityForecast& forecast,
                                        const Resources& need) {
  const auto it = std::ranges::find_if(forecast, [&](const CapacityStep& step) {
    return FitsIn(need, step.free);
  });
  return it == forecast.end() ? std::nullopt : std::optional(*it);
}

Resources FreeAt(const CapacityForecast& forecast, Instant at) {
  const auto next =
      std::ranges::upper_bound(forecast, at, {}, &CapacityStep::at);
  return next == forecast.begin() ? forecast.front().free
                                  : std::prev(next)->free;
}

}  // namespace papayadrift::jobs
