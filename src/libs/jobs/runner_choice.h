#ifndef PAPAYADRIFT_JOBS_RUNNER_CHOICE_H_
#define PAPAYADRIFT_JOBS_RUNNER_CHOICE_H_

#include <optional>
#include <string>

#include "base/instant.h"
#include "jobs/fleet.h"
#include "jobs/interference.h"
#include "jobs/job.h"
#include "jobs/policy_settings.h"

// Where a task goes. Answers the load in which services that serve users and
// batch steps share runners: batch goes where fewest users feel it, and work
// is spread so that a lost runner takes little with it.

namespace papayadrift::jobs {

struct PlacementRequest {
  TaskKey task;
  const Step* step = nullptr;
  std::string service;
  std::optional<RunnerIncarnation> avoided;  // Where it failed last.
  // A filler that waits long starts also where nothing is left for it by now.
  bool has_waited = false;
};

// Reports older than this do not count as knowledge of a runner: three of the
// agents' report periods and a slow answer.
inline constexpr milliseconds kMaxReportAge(2000);

// Returns whether the runner may take new runs at all.
bool AcceptsRuns(const Runner& runner, const std::string& service, Instant now);

// Returns the runner that suits the task best, or null if none has room.
const Runner* ChooseRunner(const Fleet& fleet,
                           const Interference& interference,
                           const PolicySettings& policy,
                           const PlacementRequest& request,
                           Instant now);

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_RUNNER_CHOICE_H_
