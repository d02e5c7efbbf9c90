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

// How fast fillers may work beside tasks that serve users. Answers waves of
// load on the serving tasks: only fillers that disturb a task near its target
// slow down, as far as it takes, and go on as soon as there is room.

namespace papayadrift::jobs {

// A serving task on a runner. Its slack is its target divided by its tail.
struct ServingState {
  std::string image;
  double baseline_slack = 0;  // Expected without any filler.
};

// Returns the slack of a serving task as its gauge shows it.
double SlackOf(const Run& run);

// Returns the serving tasks of a runner as its last report shows them.
std::vector<ServingState> ServingStatesOf(const Runner& runner,
                                          const Interference& interference);

// Takes a new gauge of a serving task into what is known of its tail.
void UpdateTail(Run& run, int64_t gauge, Instant now);

// Takes the gauges of a new report into the runner's filler uses. Tails answer
// to a change of load with a delay, which the uses share.
void UpdateFillerUses(Runner& runner, Instant now);

// Returns the share in percent at which each filler of the runner may work. The
// most urgent get what the serving tasks leave: all at an even pace would all
// be late. Beside a task that stays over its target nothing works that may be
// the cause, and in the end nothing at all.
std::map<TaskKey, uint32_t> PlanPaces(const Runner& runner,
                                      const Interference& interference,
                                      const PaceSettings& settings,
                                      Instant now,
                                      int64_t unix_ms);

// Returns by how much the slack of tasks would fall below the least if a filler
// of this image began to use `share` of the runner at full pace.
double ExcessWithFiller(const Runner& runner,
                        const Interference& interference,
                        const PaceSettings& settings,
                        const std::string& image,
                        double share);

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_PACE_PLAN_H_
