#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <variant>

#include "job_scheduler_fixture.h"

// Ends that runners list and what leaders make of them. A runner forgets an end
// once it is acknowledged, so one that is taken for stored and isn't makes its
// task run twice.

namespace papayadrift::jobs {
namespace {

// After the longest lease of a runner that reported at 0 has expired.
constexpr int64_t kLapsedMs = 10'000;

class RunEndsTest : public JobSchedulerTest {
 protected:
  // Starts the tasks on the first runner, which is then silent until its lease
  // has expired.
  void GiveUpFirstRuns(uint32_t tasks) {
    Report(kFirst, 0);
    scheduler_.AddJob(JobId("a"), JobOf(tasks, 1000));
    ASSERT_EQ(CountStarts(Orders(0)), tasks);
    scheduler_.Advance(At(kLapsedMs), kLapsedMs);
    ASSERT_EQ(scheduler_.fleet().Find(kFirst), nullptr);
    Store();
  }

  bool HasEvent(JobSchedulerEvent::Kind kind, const TaskKey& task) const {
    return std::ranges::any_of(events_, [&](const JobSchedulerEvent& it) {
      return it.kind == kind && it.subject == ToText(task);
    });
  }
};

// Guards against a leader that was deposed without knowing it, and acknowledges
// the end of a run that the next one has claimed.
TEST_F(RunEndsTest, EndOfAnUnknownRunIsNotAcknowledgedBeforeAnAppend) {
  Report(kFirst, 500, {}, {{1, Task(0), 1, RunEnd::kDone, ""}});
  EXPECT_EQ(scheduler_.RecordedEnds(kFirst), 0U);
  EXPECT_TRUE(scheduler_.has_changes());
  Store();
  EXPECT_EQ(scheduler_.RecordedEnds(kFirst), 1U);
}

// Guards against a task that is done and acknowledged, and started again since
// its run had been given up.
TEST_F(RunEndsTest, CompletionOfARunThatWasGivenUpCounts) {
  GiveUpFirstRuns(1);
  Report(kFirst, kLapsedMs, {}, {{1, Task(0), 1, RunEnd::kDone, ""}});
  EXPECT_EQ(CountStarts(Orders(kLapsedMs)), 0U);
  EXPECT_EQ(stored_.at(JobId("a")).outcome, JobOutcome::kCompleted);
  EXPECT_EQ(scheduler_.RecordedEnds(kFirst), 1U);
}

TEST_F(RunEndsTest, CompletionOfAnEarlierRunStopsTheLaterOne) {
  GiveUpFirstRuns(2);
  Report(kSecond, kLapsedMs);
  ASSERT_EQ(CountStarts(Orders(kLapsedMs)), 2U);
  Report(kFirst, kLapsedMs + 10, {}, {{1, Task(0), 1, RunEnd::kDone, ""}});
  const RunnerOrders orders = Orders(kLapsedMs + 10);
  EXPECT_TRUE(std::ranges::any_of(orders, [&](const auto& it) {
    return it == std::pair(kSecond, Order(StopOrder{Task(0), 2}));
  }));
  EXPECT_EQ(stored_.at(JobId("a")).tasks.at(Task(0)).phase, TaskPhase::kDone);
  EXPECT_FALSE(scheduler_.EndedAt(JobId("a")));
}

TEST_F(RunEndsTest, CompletionOfAnEarlierRunKeepsTheLaterOneFromStarting) {
  GiveUpFirstRuns(2);
  Report(kSecond, kLapsedMs);
  scheduler_.OnJobsViewed(At(kLapsedMs));
  scheduler_.Advance(At(kLapsedMs), kLapsedMs);
  ASSERT_EQ(scheduler_.fleet().Find(kSecond)->runs.size(), 2U);
  Report(kFirst, kLapsedMs, {}, {{1, Task(0), 1, RunEnd::kDone, ""}});
  EXPECT_EQ(CountStarts(Orders(kLapsedMs)), 1U);
  EXPECT_EQ(scheduler_.fleet().Find(kSecond)->runs.size(), 1U);
}

// A lasting task has no end that completes it.
TEST_F(RunEndsTest, EndOfALastingRunThatWasGivenUpCompletesNothing) {
  Report(kFirst, 0);
  Job job = JobOf(1, 1000);
  job.steps[0].is_long_running = true;
  scheduler_.AddJob(JobId("a"), std::move(job));
  ASSERT_EQ(CountStarts(Orders(0)), 1U);
  scheduler_.Advance(At(kLapsedMs), kLapsedMs);
  Report(kFirst, kLapsedMs, {}, {{1, Task(0), 1, RunEnd::kDone, ""}});
  Store();
  EXPECT_FALSE(scheduler_.EndedAt(JobId("a")));
  EXPECT_EQ(scheduler_.RecordedEnds(kFirst), 1U);
}

// Guards against a job that fails too early: its acknowledgement was lost, and
// the end is listed to the next leader too.
TEST_F(RunEndsTest, FailureThatIsListedAgainCountsOnce) {
  constexpr uint32_t kMaxFailures = 2;  // As set up by the fixture.
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  TaskProgress failed;
  failed.run = 1;
  failed.failures = kMaxFailures - 1;
  scheduler_.Restore(JobId("a"), {JobOutcome::kOpen, {{Task(0), failed}}});
  Report(kFirst, 500, {}, {{1, Task(0), 1, RunEnd::kFailed, ""}});
  Store();
  EXPECT_FALSE(scheduler_.EndedAt(JobId("a")));
  EXPECT_EQ(scheduler_.RecordedEnds(kFirst), 1U);
  EXPECT_TRUE(HasEvent(JobSchedulerEvent::Kind::kEndUnmatched, Task(0)));
}

TEST_F(RunEndsTest, EndsThatCannotBeTrueAreReported) {
  const TaskKey unknown{JobId("b"), 0, 0, 0};
  Report(kSecond, 0);
  scheduler_.AddJob(JobId("a"), JobOf(2, 1000));
  ASSERT_EQ(CountStarts(Orders(0)), 2U);
  Report(kFirst, 500, {},
         {{1, unknown, 1, RunEnd::kDone, ""},
          {2, Task(0), 1, RunEnd::kDone, ""},  // Claimed for the other runner.
          {3, Task(1), 2, RunEnd::kDone, ""}});
  for (const TaskKey& task : {unknown, Task(0), Task(1)}) {
    EXPECT_TRUE(HasEvent(JobSchedulerEvent::Kind::kEndInvalid, task));
  }
  Store();
  EXPECT_FALSE(scheduler_.EndedAt(JobId("a")));
  EXPECT_EQ(scheduler_.fleet().Find(kSecond)->runs.size(), 2U);
}

// Guards against warnings of ends that can't be true after each change of
// leaders: of an ended job, tasks that are over aren't stored any more.
TEST_F(RunEndsTest, EndOfAJobThatHasEndedIsNoInvalidMessage) {
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  scheduler_.Restore(JobId("a"), {JobOutcome::kCompleted, {}});
  Report(kFirst, 500, {}, {{1, Task(0), 1, RunEnd::kDone, ""}});
  EXPECT_FALSE(HasEvent(JobSchedulerEvent::Kind::kEndInvalid, Task(0)));
  EXPECT_TRUE(HasEvent(JobSchedulerEvent::Kind::kEndUnmatched, Task(0)));
}

TEST_F(RunEndsTest, EachAcknowledgedEndIsReported) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  ASSERT_EQ(CountStarts(Orders(0)), 1U);
  Report(kFirst, 500, {}, {{1, Task(0), 1, RunEnd::kDone, ""}});
  EXPECT_FALSE(HasEvent(JobSchedulerEvent::Kind::kEndAcknowledged, Task(0)));
  Store();
  EXPECT_TRUE(HasEvent(JobSchedulerEvent::Kind::kEndAcknowledged, Task(0)));
}

// Guards against a lease that no leader knows of: the runner was removed
// between its report and the answer.
TEST_F(RunEndsTest, RunnerThatWasRemovedGetsNoLease) {
  GiveUpFirstRuns(1);
  EXPECT_FALSE(scheduler_.MayLease(kFirst, At(kLapsedMs)));
}

}  // namespace
}  // namespace papayadrift::jobs
