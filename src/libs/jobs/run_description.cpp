#include "jobs/run_description.h"

#include <string_view>

namespace papayadrift::jobs {
namespace {

std::string_view DescribeAnswer(const Run& run) {
  if (!run.last_verdict) {
    return "none yet";
  }
  switch (*run.last_verdict) {
    case OrderVerdict::kDone:
      return "executed";
    case OrderVerdict::kSuperseded:
      return "superseded by a later leader";
    case OrderVerdict::kStaleRun:
      return "the run has ended there";
    case OrderVerdict::kLeaseExpired:
      return "the runner has no lease";
    case OrderVerdict::kNoRoom:
      return "no room";
    case OrderVerdict::kBadTicket:
      return "bad ticket";
    case OrderVerdict::kUnhealthy:
      return "the runner is unhealthy";
    case OrderVerdict::kRefused:
      return "refused by the agent or the runner";
    case OrderVerdict::kUnanswered:
      return "no answer in time";
    case OrderVerdict::kExpired:
      return "it came too late";
    case OrderVerdict::kOldView:
      return "the leader's view of the jobs was too old";
    case OrderVerdict::kBadView:
      return "the time of the leader's view of the jobs is not valid";
  }
  return "unknown";
}

}  // namespace

std::string DescribeFailedStart(const Run& run) {
  return "The start was not answered in time, or refused each time; the last "
         "answer: " +
         std::string(DescribeAnswer(run)) + ".";
}

std::string DescribeOverdueStop(const Run& run,
                                int64_t listed_at_ms,
                                Instant now) {
  const auto ms =
      std::chrono::floor<milliseconds>(now - run.withdrawn_at).count();
  const std::string withdrawn =
      "It was withdrawn " + std::to_string(ms) + " ms before; ";
  if (run.accepted_stops == 0) {
    return withdrawn + "no stop was executed, the last answer: " +
           std::string(DescribeAnswer(run)) + ".";
  }
  const std::string executed =
      withdrawn + std::to_string(run.accepted_stops) + " stops were executed, ";
  const int64_t age_ms = run.stop_accepted_at_ms - listed_at_ms;
  return age_ms > 0
             ? executed + "and the runner's list is " + std::to_string(age_ms) +
                   " ms older than the first."
             : executed + "and the runner still lists it, or not all ends.";
}

}  // namespace papayadrift::jobs
