#include "jobs/run_description.h"

#include <gtest/gtest.h>

namespace papayadrift::jobs {
namespace {

constexpr int64_t kListedAtMs = 1000;

Instant At(int64_t ms) {
  return Instant(milliseconds(ms));
}

TEST(RunDescriptionTest, TellsAMissingAnswerFromAMissingLease) {
  jobs::Run run;
  run.last_verdict = OrderVerdict::kUnanswered;
  const std::string unanswered = DescribeFailedStart(run);
  run.last_verdict = OrderVerdict::kLeaseExpired;
  EXPECT_NE(DescribeFailedStart(run), unanswered);
}

TEST(RunDescriptionTest, TellsAnExecutedStopFromOneWithoutAnswer) {
  jobs::Run run;
  run.withdrawn_at = At(500);
  run.last_verdict = OrderVerdict::kUnanswered;
  EXPECT_EQ(DescribeOverdueStop(run, kListedAtMs, At(3000)),
            "It was withdrawn 2500 ms before; no stop was executed, the last "
            "answer: no answer in time.");
  run.accepted_stops = 3;
  run.stop_accepted_at_ms = kListedAtMs + 50;
  EXPECT_EQ(DescribeOverdueStop(run, kListedAtMs, At(3000)),
            "It was withdrawn 2500 ms before; 3 stops were executed, and the "
            "runner's list is 50 ms older than the first.");
  run.stop_accepted_at_ms = kListedAtMs;
  EXPECT_EQ(DescribeOverdueStop(run, kListedAtMs, At(3000)),
            "It was withdrawn 2500 ms before; 3 stops were executed, and the "
            "runner still lists it, or not all ends.");
}

}  // namespace
}  // namespace papayadrift::jobs
