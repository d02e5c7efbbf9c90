#ifndef PAPAYADRIFT_JOBS_END_SETTLEMENT_H_
#define PAPAYADRIFT_JOBS_END_SETTLEMENT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "jobs/job.h"
#include "jobs/runner.h"

namespace papayadrift::jobs {

// What a leader makes of an end that a runner lists. Only the first two change
// the progress of the task.
enum class EndSettlement {
  kClaimedRun,      // The run was claimed for the runner.
  kLateCompletion,  // A run that was given up has completed its task.
  kTaskDone,        // The task is done already.
  kRunGivenUp,      // The run was given up, or its end was stored before.
  kJobEnded,
  kUnknownTask,  // No job that is stored has such a task.
  kUnknownRun,   // No run of that number has been claimed.
};

inline constexpr int kEndSettlements = 7;

// Returns a label for metrics.
std::string_view ToText(EndSettlement settlement);
// Returns whether the end can only come from a message that is wrong.
bool IsInvalid(EndSettlement settlement);

// An end that the leader has processed and not acknowledged yet.
struct UnstoredEnd {
  uint64_t version = 0;  // Of the scheduler; acknowledged once it is stored.
  TaskKey task;
  uint32_t run = 0;
  RunEnd end = RunEnd::kDone;
  EndSettlement settlement = EndSettlement::kClaimedRun;

  friend bool operator==(const UnstoredEnd&, const UnstoredEnd&) = default;
};

// Returns, as sentences for the log, which end was acknowledged and why the
// runner may drop it.
std::string DescribeAcknowledgement(uint64_t number, const UnstoredEnd& end);

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_END_SETTLEMENT_H_
