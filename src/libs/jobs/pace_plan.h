#ifndef PAPAYADRIFT_JOBS_PACE_PLAN_H_
#define PAPAYADRIFT_JOBS_PACE_PLAN_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jobs/fleet.h"
#include "jobs/interference.h"
#include "jobs/job.h"
#include "jobs/policy_settings.h"

// Computes how fast fillers may run beside tasks that serve users. When the
// load of serving tasks rises, only fillers that interfere with a task near its
// target are slowed, as far as needed, and speed up as soon as there is slack.

namespace papayadrift::jobs {

// A serving task on a runner. Its slack is its target divided by its tail
// latency.
struct ServingState {
  std::string image;
  double baseline_slack = 0;  // Expected slack without any filler.
};

// Returns whether a serving task of the runner has been over its target for so
// long that all fillers there are stopped. None is started there either: each
// works until the next report, and a series of them keeps the task over its
// target.
bool StopsAllFillers(const Runner& runner,
                     const PaceSettings& settings,
                     Instant now);

// Returns the slack of a serving task according to its gauge.
double SlackOf(const Run& run);

// Returns the serving tasks of a runner according to its last report.
std::vector<ServingState> ServingStatesOf(const Runner& runner,
                                          const Interference& interference);

// Updates the smoothed tail latency of a serving task from a new gauge.
void UpdateTail(Run& run, int64_t gauge, Instant now);

// Updates the runner's filler uses from the gauges of a new report. Tail
// latencies follow a change of load with a delay, so the uses are smoothed with
// the same delay.
void UpdateFillerUses(Runner& runner, Instant now);

// Returns the pace in percent at which each filler of the runner may run. The
// most urgent fillers get the slack of the serving tasks: at an equal pace all
// would be late. While a task stays over its target, fillers that may be the
// cause are stopped, and after a while all fillers.
std::map<TaskKey, uint32_t> PlanPaces(const Runner& runner,
                                      const Interference& interference,
                                      const PaceSettings& settings,
                                      Instant now,
                                      int64_t unix_ms);

// Returns by how much the slack of tasks would fall below the minimum if a
// filler of this image started to use `share` of the runner at full pace.
double ExcessWithFiller(const Runner& runner,
                        const Interference& interference,
                        const PaceSettings& settings,
                        const std::string& image,
                        double share);

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_PACE_PLAN_H_
