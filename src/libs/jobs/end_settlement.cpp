#include "jobs/end_settlement.h"

namespace papayadrift::jobs {
namespace {

std::string_view Describe(EndSettlement settlement) {
  switch (settlement) {
    case EndSettlement::kClaimedRun:
      return "The progress of the task is stored.";
    case EndSettlement::kLateCompletion:
      return "The run had been given up; its task is stored as done.";
    case EndSettlement::kTaskDone:
      return "The task is done already.";
    case EndSettlement::kRunGivenUp:
      return "The run had been given up, or its end is stored.";
    case EndSettlement::kJobEnded:
      return "The job has ended.";
    case EndSettlement::kUnknownTask:
      return "No stored job has such a task.";
    case EndSettlement::kUnknownRun:
      return "No run of that number has been claimed.";
  }
  return "unknown";
}

std::string_view ToText(RunEnd end) {
  switch (end) {
    case RunEnd::kDone:
      return "done";
    case RunEnd::kFailed:
      return "failed";
    case RunEnd::kStopped:
      return "stopped";
    case RunEnd::kLeaseExpired:
      return "lease expired";
    case RunEnd::kBroken:
      return "broken";
    case RunEnd::kGangIncomplete:
      return "gang incomplete";
  }
  return "unknown";
}

}  // namespace

std::string_view ToText(EndSettlement settlement) {
  switch (settlement) {
    case EndSettlement::kClaimedRun:
      return "claimed_run";
    case EndSettlement::kLateCompletion:
      return "late_completion";
    case EndSettlement::kTaskDone:
      return "task_done";
    case EndSettlement::kRunGivenUp:
      return "run_given_up";
    case EndSettlement::kJobEnded:
      return "job_ended";
    case EndSettlement::kUnknownTask:
      return "unknown_task";
    case EndSettlement::kUnknownRun:
      return "unknown_run";
  }
  return "unknown";
}

bool IsInvalid(EndSettlement settlement) {
  return settlement == EndSettlement::kUnknownTask ||
         settlement == EndSettlement::kUnknownRun;
}

std::string DescribeAcknowledgement(uint64_t number, const UnstoredEnd& end) {
  return "End " + std::to_string(number) + ", " + std::string(ToText(end.end)) +
         ", as of version " + std::to_string(end.version) + ". " +
         std::string(Describe(end.settlement));
}

}  // namespace papayadrift::jobs
