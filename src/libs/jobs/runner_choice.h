#ifndef PAPAYADRIFT_JOBS_RUNNER_CHOICE_H_
#define PAPAYADRIFT_JOBS_RUNNER_CHOICE_H_

#include <optional>
#include <string>

#include "base/instant.h"
#include "jobs/backfill.h"
#include "jobs/fleet.h"
#include "jobs/fragmentation.h"
#include "jobs/interference.h"
#include "jobs/job.h"
#include "jobs/policy_settings.h"

// Chooses the runner for a task. Services that serve users and batch steps
// share runners: batch tasks go where they affect the fewest users, and tasks
// are spread so that the loss of a runner loses little work.

namespace papayadrift::jobs {

// An attempt to place a task of a step that found no runner.
struct PlacementAttempt {
  uint64_t fleet_changes = 0;  // See Fleet::changes().
  Instant at;

  friend bool operator==(const PlacementAttempt&,
                         const PlacementAttempt&) = default;
};

struct PlacementRequest {
  TaskKey task;
  const Step* step = nullptr;
  std::string service;
  // The runner on which it failed last.
  std::optional<RunnerIncarnation> avoided;
  // A filler that has waited long may start where no capacity is left for it.
  bool has_waited = false;
  // Starts where no other run has just started, since runners have crashed
  // under the task.
  bool is_isolated = false;
  // Returns also runners that are not free for an isolated start yet.
  bool may_wait_for_isolation = false;
  // Runners that have not changed since then are passed over.
  std::optional<PlacementAttempt> failed_attempt;
  // By which it may use runners that are reserved for large tasks.
  BackfillClaim claim;
  // If set, receives a runner with room that is reserved for another step.
  const Runner** held_back_from = nullptr;
  // If set, sizes whose places short tasks should leave.
  const LargeSizes* large_sizes = nullptr;
};

// Older reports are ignored: three of the agents' report periods and a slow
// answer.
inline constexpr milliseconds kMaxReportAge(2000);

// Returns whether the runner accepts new runs at all.
bool AcceptsRuns(const Runner& runner, const std::string& service, Instant now);

// Returns the cost of the task on the runner.
double PlacementCost(const Runner& runner,
                     const Interference& interference,
                     const PolicySettings& policy,
                     const PlacementRequest& request);

// Returns the runner with the lowest cost for the task, or null if it fits on
// none.
const Runner* ChooseRunner(const Fleet& fleet,
                           const Interference& interference,
                           const PolicySettings& policy,
                           const PlacementRequest& request,
                           Instant now);

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_RUNNER_CHOICE_H_
