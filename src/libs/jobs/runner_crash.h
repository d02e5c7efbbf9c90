#ifndef PAPAYADRIFT_JOBS_RUNNER_CRASH_H_
#define PAPAYADRIFT_JOBS_RUNNER_CRASH_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/instant.h"
#include "jobs/fleet.h"
#include "jobs/runner.h"

// What is known of the crash of a runner and of the runs that it ended.

namespace papayadrift::jobs {

// The crash of a runner as far as the leader knows it.
struct RunnerCrash {
  // The earliest time at which the runner may have crashed, on the agent's
  // clock.
  int64_t earliest_ms = 0;
  // The latest one, on the leader's clock: starts sent later did not reach it.
  Instant latest;

  friend bool operator==(const RunnerCrash&, const RunnerCrash&) = default;
};

// Returns the crash of which `report`, received at `received_at`, tells, or
// std::nullopt if it tells of none or the runner was draining.
std::optional<RunnerCrash> CrashOf(const Runner& runner,
                                   const RunnerReport& report,
                                   Instant received_at);

// Returns the crash of a runner that has been replaced by a later incarnation,
// whose report `successor` was received at `now`; std::nullopt if it was
// draining, if nothing is known of it, or if its runs were given up before:
// that crash has been counted.
std::optional<RunnerCrash> CrashOfReplaced(const Runner& runner,
                                           const RunnerReport& successor,
                                           Instant now);

// Returns the tasks whose start may have crashed the runner, as by
// CrashRecordOf(): those that started less than `window` before or may have.
std::set<TaskKey> CrashSuspects(const RunTable& runs,
                                const RunnerCrash& crash,
                                milliseconds window);

// Returns how long before the crash the run had started, for logs.
std::string DescribeStart(const Run& run, const RunnerCrash& crash);

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_RUNNER_CRASH_H_
