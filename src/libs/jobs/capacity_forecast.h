#ifndef PAPAYADRIFT_JOBS_CAPACITY_FORECAST_H_
#define PAPAYADRIFT_JOBS_CAPACITY_FORECAST_H_

#include <optional>
#include <vector>

#include "base/instant.h"
#include "base/resources.h"
#include "jobs/fleet.h"
#include "jobs/run.h"

// Estimates when how much of a runner's capacity will be free. Answers large
// tasks that wait on a fleet of short runs: the place for one is free at no
// time unless it is known when the runs around it end.

namespace papayadrift::jobs {

// What is free from a time on.
struct CapacityStep {
  Instant at;
  Resources free;  // Negative amounts are overcommitted.

  friend bool operator==(const CapacityStep&, const CapacityStep&) = default;
};

// By time; the first one is the present.
using CapacityForecast = std::vector<CapacityStep>;

// Returns when the run is expected to end: after `now`, or std::nullopt if it
// has no expected end. One that has exceeded its expected duration is expected
// to take as long again as it has overrun.
std::optional<Instant> ExpectedEnd(const Run& run, Instant now);

CapacityForecast ForecastOf(const Runner& runner, Instant now);

// Returns the first time from which `need` fits, or std::nullopt if there is
// none.
std::optional<CapacityStep> EarliestFit(const CapacityForecast& forecast,
                                        const Resources& need);

// Returns what is free at `at`.
Resources FreeAt(const CapacityForecast& forecast, Instant at);

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_CAPACITY_FORECAST_H_
