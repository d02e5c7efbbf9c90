#include "jobs/job_scheduler.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <ranges>
#include <variant>
#include <vector>

#include "job_scheduler_fixture.h"

namespace papayadrift::jobs {
namespace {

TEST_F(JobSchedulerTest, HoldsStartsBackUntilTheirClaimIsStored) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  scheduler_.Advance(At(0), 0);
  EXPECT_TRUE(scheduler_.TakeOrders(At(0)).empty());
  Store();
  EXPECT_EQ(scheduler_.TakeOrders(At(0)).size(), 1U);
}

// Guards against a leader that sends each order again and again, since it
// handles the answers late, and so is ever later.
TEST_F(JobSchedulerTest, ResendsOrdersLaterWhileAnswersAreLate) {
  const JobSchedulerSettings settings;
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  const auto sends_by = [&](int64_t end_ms, int64_t now_ms) {
    size_t sends = 0;
    for (; now_ms < end_ms; now_ms += 50) {
      Report(kFirst, now_ms);
      sends += CountStarts(Orders(now_ms));
    }
    return sends;
  };
  const int64_t period_ms = settings.resend_period.count();
  scheduler_.OnOrderLatency(milliseconds(5));
  EXPECT_EQ(sends_by(period_ms * 2, 0), 2U);
  for (int i = 0; i < 50; ++i) {
    scheduler_.OnOrderLatency(milliseconds(700));
  }
  EXPECT_EQ(sends_by(period_ms * 5, period_ms * 2), 1U);
}

// Guards against starts of a job whose cancellation was acknowledged long ago:
// the claim was stored late, and the leader did not read any more.
TEST_F(JobSchedulerTest, SendsNoStartOnAnOldViewOfTheJobs) {
  const int64_t limit_ms = JobSchedulerSettings().view_limit.count();
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(2, 1000));
  scheduler_.OnJobsViewed(At(0));
  scheduler_.Advance(At(0), 0);
  Store();
  Report(kFirst, limit_ms);
  EXPECT_TRUE(scheduler_.TakeOrders(At(limit_ms)).empty());
  scheduler_.OnJobsViewed(At(1));
  const auto batches = scheduler_.TakeOrders(At(limit_ms));
  ASSERT_EQ(batches.size(), 1U);
  EXPECT_EQ(batches[0].second.size(), 2U);
}

// What an agent is told of the leader's view must not be later than it was.
TEST_F(JobSchedulerTest, TellsTheTimeOfItsViewOnTheClockOfTheAgent) {
  constexpr int64_t kLeadMs = 5000;
  constexpr int64_t kDelayMs = 40;
  RunnerReport report = ReportOf(kFirst);
  report.sent_at_ms = kLeadMs + 1000;
  scheduler_.OnReport(report, At(1000 + kDelayMs));
  scheduler_.OnJobsViewed(At(700));
  EXPECT_EQ(scheduler_.ViewedAtMs(kFirst), kLeadMs - kDelayMs + 700);
  EXPECT_EQ(scheduler_.ViewedAtMs(kSecond), 0);
}

// Guards against starts on a view that is older than its order says, and
// against a runner that gets none any more since each names a time in the
// future: the clock of its agent is slower than the leader's.
TEST_F(JobSchedulerTest, TellsTheTimeOfItsViewAlthoughClocksDrift) {
  constexpr int64_t kReportPeriodMs = 500;
  constexpr int64_t kHourMs = 3'600'000;
  constexpr int64_t kToleranceMs = 250;
  // Slower by 200 millionths.
  const auto agent_ms_at = [](int64_t ms) { return ms - ms / 5000; };
  RunnerReport report = ReportOf(kFirst);
  for (int64_t ms = kReportPeriodMs; ms <= kHourMs; ms += kReportPeriodMs) {
    report.sent_at_ms = report.listed_at_ms = agent_ms_at(ms);
    scheduler_.OnReport(report, At(ms));
  }
  scheduler_.OnJobsViewed(At(kHourMs));
  EXPECT_LE(scheduler_.ViewedAtMs(kFirst), agent_ms_at(kHourMs) + kToleranceMs);
}

// Guards against storing a job's whole progress again with each task that
// changed, as happened in a large deployment.
TEST_F(JobSchedulerTest, StoresOnlyTasksThatChanged) {
  constexpr uint32_t kTasks = 2;
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(20, 1500));
  ASSERT_EQ(CountStarts(Orders(0)), kTasks);
  EXPECT_EQ(stored_tasks_, kTasks);
  Report(kFirst, 500, {}, {{1, Task(0), 1, RunEnd::kDone, ""}});
  Store();
  EXPECT_EQ(stored_tasks_, kTasks + 1);
}

TEST_F(JobSchedulerTest, EndedJobsKeepOnlyTasksThatMayBeRunning) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(2, 1000));
  Orders(0);
  Report(kFirst, 500, {{Task(1), 1, "", 10, 0}},
         {{1, Task(0), 1, RunEnd::kDone, ""}});
  scheduler_.Cancel(JobId("a"), At(600));
  Store();
  const StoredProgress& stored = stored_.at(JobId("a"));
  EXPECT_EQ(stored.outcome, JobOutcome::kCancelled);
  ASSERT_EQ(stored.tasks.size(), 1U);
  EXPECT_EQ(stored.tasks.begin()->first, Task(1));
  Report(kFirst, 1000, {}, {{2, Task(1), 1, RunEnd::kStopped, ""}});
  Store();
  EXPECT_TRUE(stored_.at(JobId("a")).tasks.empty());
}

TEST_F(JobSchedulerTest, NeverClaimsMoreThanARunnerHas) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(10, 1500));
  EXPECT_EQ(CountStarts(Orders(0)), 2U);
  EXPECT_EQ(scheduler_.waiting_tasks(), 8U);
}

// Guards against starts that were claimed before a runner's capacity shrank and
// are sent only afterwards, as when the store was slow or a leader was lost.
TEST_F(JobSchedulerTest, ShrunkRunnerGetsNoStartBeyondItsCapacity) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(4, 1000));
  scheduler_.Advance(At(0), 0);
  Store();
  RunnerReport shrunk = ReportOf(kFirst);
  shrunk.capacity.millicores = 2000;
  shrunk.sent_at_ms = shrunk.listed_at_ms = 10;
  scheduler_.OnReport(shrunk, At(10));
  EXPECT_EQ(CountStarts(Orders(10)), 2U);
  EXPECT_EQ(scheduler_.waiting_tasks(), 2U);
}

// What may have been started and what is being stopped still takes capacity.
TEST_F(JobSchedulerTest, ShrunkRunnerGetsNoStartAgainThatWasNotAnswered) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(4, 1000));
  ASSERT_EQ(CountStarts(Orders(0)), 4U);
  RunnerReport shrunk = ReportOf(kFirst);
  shrunk.capacity.millicores = 2000;
  shrunk.sent_at_ms = shrunk.listed_at_ms = 500;
  scheduler_.OnReport(shrunk, At(500));
  const auto orders = Orders(500);
  EXPECT_EQ(orders.size(), 4U);
  EXPECT_EQ(CountStarts(orders), 0U);
}

TEST_F(JobSchedulerTest, AcknowledgesAnEndOnlyOnceItIsStored) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  Orders(0);
  Report(kFirst, 500, {}, {{1, Task(0), 1, RunEnd::kDone, ""}});
  EXPECT_EQ(scheduler_.RecordedEnds(kFirst), 0U);
  Store();
  EXPECT_EQ(scheduler_.RecordedEnds(kFirst), 1U);
  EXPECT_EQ(stored_.at(JobId("a")).outcome, JobOutcome::kCompleted);
}

TEST_F(JobSchedulerTest, RepeatsAStartThatWasNotAnswered) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  ASSERT_EQ(CountStarts(Orders(0)), 1U);
  EXPECT_EQ(CountStarts(Orders(100)), 0U);
  Report(kFirst, 500);
  EXPECT_EQ(CountStarts(Orders(500)), 1U);
}

// A runner that may still execute a start late must have been stopped before
// the task runs elsewhere.
TEST_F(JobSchedulerTest, StopsAnUnansweredRunBeforeItIsPlacedAgain) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  int64_t now_ms = 0;
  std::vector<std::pair<RunnerIncarnation, Order>> orders = Orders(now_ms);
  while (CountStarts(orders) > 0 || orders.empty()) {
    now_ms += 450;
    ASSERT_LT(now_ms, 10000);
    Report(kFirst, now_ms);
    orders = Orders(now_ms);
  }
  ASSERT_TRUE(std::holds_alternative<StopOrder>(orders[0].second));
  Report(kSecond, now_ms);
  EXPECT_EQ(CountStarts(Orders(now_ms + 10)), 0U);
  scheduler_.OnOrderResult(kFirst, orders[0].second,
                           {OrderVerdict::kDone, now_ms + 20}, At(now_ms + 20));
  Report(kFirst, now_ms + 30);
  const auto again = Orders(now_ms + 30);
  ASSERT_EQ(CountStarts(again), 1U);
  EXPECT_EQ(std::get<StartOrder>(again[0].second).run, 2U);
}

TEST_F(JobSchedulerTest, WaitsForTheLeaseOfASilentRunner) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  Orders(0);
  const int64_t lease_ms = JobSchedulerSettings().lease.count();
  Report(kSecond, lease_ms);
  EXPECT_EQ(CountStarts(Orders(lease_ms)), 0U);
  const int64_t expired_ms =
      lease_ms * 102 / 100 +
      JobSchedulerSettings().lease_expiry_margin.count() + 1;
  Report(kSecond, expired_ms);
  const auto orders = Orders(expired_ms);
  ASSERT_EQ(CountStarts(orders), 1U);
  EXPECT_EQ(orders[0].first, kSecond);
}

// Guards against tasks that run twice after a cut: their starts arrived when
// they had been given up and their runner had a lease again.
TEST_F(JobSchedulerTest, StopsWhatItGaveUpBeforeTheRunnerGetsALease) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  ASSERT_EQ(CountStarts(Orders(0)), 1U);
  constexpr int64_t kExpiredMs = 7000;
  Report(kSecond, kExpiredMs);
  ASSERT_EQ(CountStarts(Orders(kExpiredMs)), 1U);
  scheduler_.AddJob(JobId("b"), JobOf(4, 4000));
  Report(kFirst, kExpiredMs + 500);
  EXPECT_FALSE(scheduler_.MayLease(kFirst, At(kExpiredMs + 500)));
  const auto orders = Orders(kExpiredMs + 500);
  const auto stop = std::ranges::find(orders, kFirst,
                                      [](const auto& it) { return it.first; });
  ASSERT_NE(stop, orders.end());
  EXPECT_EQ(stop->second, Order(StopOrder{Task(0), 1}));
  EXPECT_EQ(std::ranges::count(orders, kFirst,
                               [](const auto& it) { return it.first; }),
            1);
  scheduler_.OnOrderResult(kFirst, stop->second,
                           {OrderVerdict::kRefused, kExpiredMs + 510},
                           At(kExpiredMs + 510));
  EXPECT_FALSE(scheduler_.MayLease(kFirst, At(kExpiredMs + 510)));
  scheduler_.OnOrderResult(kFirst, stop->second,
                           {OrderVerdict::kDone, kExpiredMs + 520},
                           At(kExpiredMs + 520));
  EXPECT_TRUE(scheduler_.MayLease(kFirst, At(kExpiredMs + 520)));
  EXPECT_EQ(CountStarts(Orders(kExpiredMs + 520)), 1U);
}

// A run that was executed when its only start arrived can't start once more.
TEST_F(JobSchedulerTest, RunnerGetsALeaseAtOnceIfNoStartIsOnItsWay) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  ASSERT_EQ(CountStarts(Orders(0)), 1U);
  Report(kFirst, 100, {{Task(0), 1, "", 10, 0}});
  constexpr int64_t kExpiredMs = 7000;
  Report(kSecond, kExpiredMs);
  ASSERT_EQ(CountStarts(Orders(kExpiredMs)), 1U);
  Report(kFirst, kExpiredMs + 500);
  EXPECT_TRUE(scheduler_.MayLease(kFirst, At(kExpiredMs + 500)));
}

TEST_F(JobSchedulerTest, NewIncarnationEndsTheEarlierOne) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  Orders(0);
  const RunnerIncarnation restarted{"node-1", "i-3", 2000};
  Report(restarted, 100);
  const auto orders = Orders(100);
  ASSERT_EQ(CountStarts(orders), 1U);
  EXPECT_EQ(orders[0].first, restarted);
  // A late report of the earlier incarnation is ignored.
  EXPECT_FALSE(scheduler_.OnReport(ReportOf(kFirst), At(200)));
}

// Guards against tasks that run twice after a restart of their runner: a later
// process under the same name had taken the start.
TEST_F(JobSchedulerTest, LaterProcessOfTheSameNameStopsARunBeforeItsRelease) {
  Report(kFirst, 0);
  Report(kSecond, 0);
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  const auto starts = Orders(0);
  ASSERT_EQ(CountStarts(starts), 1U);
  const RunnerIncarnation first = starts[0].first;
  const RunnerIncarnation restarted{first.node, first.instance, 2000};
  Report(restarted, 100, {{Task(0), 1, "", 10, 0}});
  const auto orders = Orders(100);
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(orders[0].first, restarted);
  EXPECT_EQ(orders[0].second, Order(StopOrder{Task(0), 1}));
  scheduler_.OnOrderResult(restarted, orders[0].second,
                           {OrderVerdict::kDone, 120}, At(120));
  EXPECT_EQ(CountStarts(Orders(120)), 0U);
  Report(restarted, 130, {}, {{1, Task(0), 1, RunEnd::kStopped, ""}});
  const auto again = Orders(130);
  ASSERT_EQ(CountStarts(again), 1U);
  EXPECT_EQ(std::get<StartOrder>(again[0].second).run, 2U);
}

// The run ended with its process, so nothing holds its task.
TEST_F(JobSchedulerTest, RunThatWasListedEndsWithItsProcess) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  ASSERT_EQ(CountStarts(Orders(0)), 1U);
  Report(kFirst, 50, {{Task(0), 1, "", 10, 0}});
  Report({"node-1", "i-1", 2000}, 100);
  EXPECT_EQ(CountStarts(Orders(100)), 1U);
}

TEST_F(JobSchedulerTest, FailsAJobAfterItsLastAttempt) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  Orders(0);
  Report(kFirst, 500, {}, {{1, Task(0), 1, RunEnd::kFailed, ""}});
  ASSERT_EQ(CountStarts(Orders(500)), 1U);
  Report(kFirst, 900, {}, {{2, Task(0), 2, RunEnd::kFailed, ""}});
  Store();
  EXPECT_EQ(stored_.at(JobId("a")).outcome, JobOutcome::kFailed);
}

// Guards against a job that is given up after one failure, which its runner
// lists until it is acknowledged.
TEST_F(JobSchedulerTest, EndThatIsReportedAgainCountsOnce) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  Orders(0);
  const std::vector<EndedRun> ended = {{1, Task(0), 1, RunEnd::kFailed, ""}};
  Report(kFirst, 500, {}, ended);
  ASSERT_EQ(CountStarts(Orders(500)), 1U);
  Report(kFirst, 900, {{Task(0), 2, "", 0, 0}}, ended);
  Report(kFirst, 1300, {{Task(0), 2, "", 0, 0}}, ended);
  Store();
  EXPECT_EQ(scheduler_.open_jobs(), 1U);
  EXPECT_EQ(stored_.at(JobId("a")).outcome, JobOutcome::kOpen);
  const Runner& runner = *scheduler_.fleet().Find(kFirst);
  ASSERT_EQ(runner.runs.size(), 1U);
  EXPECT_EQ(runner.runs.at(Task(0)).number, 2U);
}

// Guards against a run that ends, or that counts as started, on the answer to
// an order for the run before it.
TEST_F(JobSchedulerTest, ResultForAnEarlierRunChangesNothing) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  const auto first = Orders(0);
  ASSERT_EQ(CountStarts(first), 1U);
  Report(kFirst, 500, {}, {{1, Task(0), 1, RunEnd::kStopped, ""}});
  ASSERT_EQ(CountStarts(Orders(500)), 1U);
  for (const OrderVerdict verdict :
       {OrderVerdict::kDone, OrderVerdict::kNoRoom, OrderVerdict::kStaleRun}) {
    scheduler_.OnOrderResult(kFirst, first[0].second, {verdict, 600}, At(600));
  }
  scheduler_.OnOrderResult(kFirst, StopOrder{Task(0), 1},
                           {OrderVerdict::kDone, 600}, At(600));
  const Runner& runner = *scheduler_.fleet().Find(kFirst);
  ASSERT_EQ(runner.runs.size(), 1U);
  const auto& run = runner.runs.at(Task(0));
  EXPECT_EQ(run.number, 2U);
  EXPECT_FALSE(run.is_accepted);
  EXPECT_FALSE(run.is_withdrawn);
}

// A notice of a cancellation may come after the job's end, and again.
TEST_F(JobSchedulerTest, CancellationOfAnEndedJobChangesNothing) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  Orders(0);
  Report(kFirst, 500, {}, {{1, Task(0), 1, RunEnd::kDone, ""}});
  Store();
  scheduler_.Cancel(JobId("a"), At(600));
  scheduler_.Cancel(JobId("a"), At(700));
  EXPECT_FALSE(scheduler_.has_changes());
  Store();
  EXPECT_EQ(stored_.at(JobId("a")).outcome, JobOutcome::kCompleted);
}

// Guards against a runner that has ended and gets starts, since an earlier
// report of it has come late.
TEST_F(JobSchedulerTest, ReportThatItsRunnersEndHasOvertakenChangesNothing) {
  Report(kFirst, 0);
  RunnerReport late = ReportOf(kFirst);
  late.sent_at_ms = 100;
  RunnerReport gone = late;
  gone.state = RunnerState::kGone;
  gone.sent_at_ms = 200;
  EXPECT_TRUE(scheduler_.OnReport(gone, At(210)));
  EXPECT_FALSE(scheduler_.OnReport(late, At(220)));
  EXPECT_EQ(scheduler_.fleet().Find(kFirst), nullptr);
  late.sent_at_ms = 300;  // Its agent took it for ended by mistake.
  EXPECT_TRUE(scheduler_.OnReport(late, At(310)));
  EXPECT_NE(scheduler_.fleet().Find(kFirst), nullptr);
}

TEST_F(JobSchedulerTest, InterruptedRunsAreNoAttempts) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  Orders(0);
  uint64_t number = 0;
  for (const RunEnd end :
       {RunEnd::kLeaseExpired, RunEnd::kStopped, RunEnd::kBroken}) {
    ++number;
    const auto now_ms = static_cast<int64_t>(number) * 500;
    Report(kFirst, now_ms, {},
           {{number, Task(0), static_cast<uint32_t>(number), end, "saved"}});
    const auto orders = Orders(now_ms);
    ASSERT_EQ(CountStarts(orders), 1U);
    EXPECT_EQ(std::get<StartOrder>(orders[0].second).checkpoint, "saved");
  }
}

// Guards against tasks that run twice after an outage of the store: more runs
// had ended than a runner lists at once, and the others counted as missing.
TEST_F(JobSchedulerTest, AnEndThatIsNotListedYetDoesNotReleaseTheTask) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(2, 1000));
  const auto starts = Orders(0);
  ASSERT_EQ(CountStarts(starts), 2U);
  for (const Order& start : starts | std::views::values) {
    scheduler_.OnOrderResult(kFirst, start, {OrderVerdict::kDone, 10}, At(10));
  }
  RunnerReport part = ReportOf(kFirst);
  part.ended = {{1, Task(0), 1, RunEnd::kDone, ""}};
  part.has_all_ends = false;
  for (int64_t now_ms = 500; now_ms <= 1000; now_ms += 100) {
    part.sent_at_ms = part.listed_at_ms = now_ms;
    scheduler_.OnReport(part, At(now_ms));
    for (const auto& [incarnation, order] : Orders(now_ms)) {
      EXPECT_FALSE(std::holds_alternative<StartOrder>(order)) << now_ms;
      scheduler_.OnOrderResult(incarnation, order,
                               {OrderVerdict::kDone, now_ms}, At(now_ms));
    }
  }
  Report(kFirst, 1100, {}, {{2, Task(1), 1, RunEnd::kDone, ""}});
  Store();
  EXPECT_EQ(stored_.at(JobId("a")).outcome, JobOutcome::kCompleted);
}

TEST_F(JobSchedulerTest, StopsRunsOfACancelledJob) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(2, 1000));
  Orders(0);
  Report(kFirst, 100, {{Task(0), 1, "", 0, 0}, {Task(1), 1, "", 0, 0}});
  scheduler_.Cancel(JobId("a"), At(200));
  const auto orders = Orders(200);
  EXPECT_EQ(orders.size(), 2U);
  EXPECT_EQ(CountStarts(orders), 0U);
}

// Guards against a cancelled task that runs on while its agent's reports arrive
// late: an overloaded leader takes them in seconds after they were sent.
TEST_F(JobSchedulerTest, StopsACancelledRunAlthoughReportsAreLate) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  Orders(0);
  Report(kFirst, 100, {{Task(0), 1, "", 50, 0}});
  scheduler_.Cancel(JobId("a"), At(2500));
  const auto orders = Orders(2500);
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<StopOrder>(orders[0].second));
}

// Guards against a task that is placed again while its first start is still on
// its way: the agent had restarted and refused the stop by itself.
TEST_F(JobSchedulerTest, StopThatTheAgentRefusedDoesNotReleaseTheTask) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  Orders(0);
  for (int64_t now_ms = 500; now_ms <= 1500; now_ms += 500) {
    Report(kFirst, now_ms);
    Orders(now_ms);
  }
  Report(kFirst, 2000);
  const auto stops = Orders(2000);
  ASSERT_EQ(stops.size(), 1U);
  ASSERT_TRUE(std::holds_alternative<StopOrder>(stops[0].second));
  scheduler_.OnOrderResult(kFirst, stops[0].second,
                           {OrderVerdict::kRefused, 2010}, At(2010));
  Report(kSecond, 2500);
  Report(kFirst, 2500);
  EXPECT_EQ(CountStarts(Orders(2500)), 0U);
}

// Guards against a task that waits for ever because each repeated stop asks for
// a newer list than the runner's agent has reported by then.
TEST_F(JobSchedulerTest, RepeatedStopsReleaseARunThatNeverStarted) {
  constexpr int64_t kListAgeMs = 450;
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  uint32_t last_started = 0;
  for (int64_t now_ms = 0; now_ms <= 4000; now_ms += 50) {
    if (now_ms % 500 == 0) {
      RunnerReport report = ReportOf(kFirst);
      report.sent_at_ms = now_ms;
      report.listed_at_ms = std::max<int64_t>(1, now_ms - kListAgeMs);
      scheduler_.OnReport(report, At(now_ms));
      scheduler_.OnLeaseGranted(kFirst,
                                At(now_ms) + JobSchedulerSettings().lease);
    }
    for (const auto& [incarnation, order] : Orders(now_ms)) {
      const auto* start = std::get_if<StartOrder>(&order);
      if (start != nullptr) {
        last_started = start->run;
      }
      scheduler_.OnOrderResult(
          incarnation, order,
          {start != nullptr ? OrderVerdict::kUnanswered : OrderVerdict::kDone,
           now_ms},
          At(now_ms));
    }
  }
  EXPECT_EQ(last_started, 2U);
}

// Guards against a task that waits until the clock of a VM that has lost power
// reaches the time of a stop from before.
TEST_F(JobSchedulerTest, StopCountsAlthoughTheClockOfItsVmHasStartedAnew) {
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  Report(kFirst, 0);
  ASSERT_EQ(CountStarts(Orders(0)), 1U);
  scheduler_.Cancel(JobId("a"), At(100));
  for (const int64_t known_at_ms : {90'000, 300}) {
    scheduler_.OnOrderResult(kFirst, StopOrder{Task(0), 1},
                             {OrderVerdict::kDone, known_at_ms}, At(300));
  }
  Report(kFirst, 500);
  EXPECT_TRUE(scheduler_.fleet().Find(kFirst)->runs.empty());
}

// Guards against work that waits at a runner whose agent gets no answers to its
// reports, while others have room.
TEST_F(JobSchedulerTest, RunnerWithoutALeaseGetsNoStart) {
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  scheduler_.OnReport(ReportOf(kFirst), At(0));
  EXPECT_EQ(CountStarts(Orders(0)), 0U);
  scheduler_.OnLeaseGranted(kFirst, At(JobSchedulerSettings().lease.count()));
  EXPECT_EQ(CountStarts(Orders(10)), 1U);
}

// The answer with the lease may be lost.
TEST_F(JobSchedulerTest, StartRefusedForWantOfALeaseIsPlacedElsewhere) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  const auto refused = Orders(0);
  ASSERT_EQ(CountStarts(refused), 1U);
  Report(kSecond, 10);
  scheduler_.OnOrderResult(kFirst, refused[0].second,
                           {OrderVerdict::kLeaseExpired, 10}, At(10));
  const auto placed = Orders(20);
  ASSERT_EQ(CountStarts(placed), 1U);
  EXPECT_EQ(placed[0].first, kSecond);
}

// Guards against a task that stands still for 11.65 s after a takeover: the
// wait for the lease of a runner that is gone began anew with the leader.
TEST_F(JobSchedulerTest, LeaseOfARunnerThatIsGoneEndsAfterTheLastLeader) {
  constexpr int64_t kLastGrantMs = 3700;
  constexpr int64_t kTakeoverMs = 5000;
  const JobSchedulerSettings settings;
  const int64_t expiry_ms =
      kLastGrantMs +
      (settings.lease * (100 + settings.clock_error_percent) / 100 +
       settings.lease_expiry_margin)
          .count();
  JobScheduler next(settings, At(kTakeoverMs), nullptr, At(kLastGrantMs));
  next.AddJob(JobId("a"), JobOf(1, 1000));
  next.Restore(JobId("a"),
               {JobOutcome::kOpen,
                {{Task(0), {TaskPhase::kClaimed, 3, 0, kFirst, ""}}}});
  next.Advance(At(expiry_ms), 0);
  EXPECT_NE(next.fleet().Find(kFirst), nullptr);
  next.Advance(At(expiry_ms + 1), 0);
  EXPECT_EQ(next.fleet().Find(kFirst), nullptr);
}

// Guards against a fleet that is given up before its agents could report: the
// takeover came long after the last leader.
TEST_F(JobSchedulerTest, AgentsMayReportAfterALateTakeover) {
  constexpr int64_t kTakeoverMs = 60'000;
  const JobSchedulerSettings settings;
  JobScheduler next(settings, At(kTakeoverMs), nullptr, At(0));
  next.AddJob(JobId("a"), JobOf(1, 1000));
  next.Restore(JobId("a"),
               {JobOutcome::kOpen,
                {{Task(0), {TaskPhase::kClaimed, 3, 0, kFirst, ""}}}});
  const int64_t limit_ms = kTakeoverMs + settings.takeover_report_time.count();
  next.Advance(At(limit_ms), 0);
  EXPECT_NE(next.fleet().Find(kFirst), nullptr);
  next.Advance(At(limit_ms + 1), 0);
  EXPECT_EQ(next.fleet().Find(kFirst), nullptr);
}

// Guards against a new leader that stops runs of the last one because their
// agents have restarted with it.
TEST_F(JobSchedulerTest, RunOfTheLastLeaderOutlivesARefusalForWantOfALease) {
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  scheduler_.Restore(JobId("a"),
                     {JobOutcome::kOpen,
                      {{Task(0), {TaskPhase::kClaimed, 3, 0, kFirst, ""}}}});
  scheduler_.OnReport(ReportOf(kFirst), At(0));
  for (const auto& [incarnation, order] : Orders(0)) {
    scheduler_.OnOrderResult(incarnation, order,
                             {OrderVerdict::kLeaseExpired, 5}, At(5));
  }
  Report(kFirst, 100, {{Task(0), 3, "", 10, 0}});
  const jobs::Run& run = scheduler_.fleet().Find(kFirst)->runs.at(Task(0));
  EXPECT_TRUE(run.is_accepted);
  EXPECT_FALSE(run.is_withdrawn);
}

// Guards against a pace that was planned on old gauges.
TEST_F(JobSchedulerTest, SendsNoStartAndNoPaceOnAnOldReport) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  scheduler_.Advance(At(0), 0);
  Store();
  EXPECT_TRUE(scheduler_.TakeOrders(At(2500)).empty());
}

TEST_F(JobSchedulerTest, StopsRunsThatItDidNotClaim) {
  Report(kFirst, 1, {{Task(0), 7, "", 0, 0}});
  const auto orders = Orders(1);
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(std::get<StopOrder>(orders[0].second).run, 7U);
}

TEST_F(JobSchedulerTest, StartsLaterStepsWhenTheEarlierAreDone) {
  Job job = JobOf(1, 1000);
  job.steps.push_back(job.steps[0]);
  job.steps[1].depends_on = {0};
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), job);
  EXPECT_EQ(CountStarts(Orders(0)), 1U);
  Report(kFirst, 500, {}, {{1, Task(0), 1, RunEnd::kDone, ""}});
  const auto orders = Orders(500);
  ASSERT_EQ(CountStarts(orders), 1U);
  EXPECT_EQ(std::get<StartOrder>(orders[0].second).task.step, 1U);
}

TEST_F(JobSchedulerTest, GivesADrainingRunnerNothingNew) {
  RunnerReport report = ReportOf(kFirst);
  report.state = RunnerState::kDraining;
  scheduler_.OnReport(report, At(0));
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  EXPECT_TRUE(Orders(0).empty());
}

TEST_F(JobSchedulerTest, GangsStartWholeOrNotAtAll) {
  Job job = JobOf(4, 1500);
  job.steps[0].is_gang = true;
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), job);
  EXPECT_EQ(CountStarts(Orders(0)), 0U);
  Report(kSecond, 10);
  EXPECT_EQ(CountStarts(Orders(10)), 4U);
}

TEST_F(JobSchedulerTest, KeepsLongRunningTasksRunning) {
  Job job = JobOf(1, 1000);
  job.steps[0].is_long_running = true;
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), job);
  Orders(0);
  Report(kFirst, 500, {}, {{1, Task(0), 1, RunEnd::kDone, ""}});
  EXPECT_EQ(CountStarts(Orders(500)), 1U);
  Report(kFirst, 900, {}, {{2, Task(0), 2, RunEnd::kFailed, ""}});
  Report(kFirst, 950, {}, {{3, Task(0), 3, RunEnd::kFailed, ""}});
  EXPECT_EQ(stored_[JobId("a")].outcome, JobOutcome::kOpen);
}

// A new leader knows the claims but not whether their starts were sent: it
// resends them, and places no claimed task again before the leases of the old
// term have expired.
TEST_F(JobSchedulerTest, RestoresClaimsOfThePreviousLeader) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  Orders(0);
  JobScheduler next(JobSchedulerSettings(), At(1000), nullptr);
  RouteTable routes;
  routes.queues.resize(1);
  routes.queues[0].name = "q";
  routes.queues[0].service = "s";
  next.SetRoutes(routes);
  next.AddJob(JobId("a"), JobOf(1, 1000));
  next.Restore(JobId("a"), stored_.at(JobId("a")));
  RunnerReport other = ReportOf(kSecond);
  next.OnReport(other, At(1000));
  next.Advance(At(1000), 1000);
  EXPECT_TRUE(next.TakeOrders(At(1000)).empty());
  next.OnReport(ReportOf(kFirst), At(1100));
  const auto batches = next.TakeOrders(At(1100));
  ASSERT_EQ(batches.size(), 1U);
  EXPECT_EQ(std::get<StartOrder>(batches[0].second[0]).run, 1U);
}

// Guards against a lasting task that stands still although its runner runs
// again: a process that starts after its VM's time of day was set back was
// taken for an earlier one until the lease of its predecessor had expired.
TEST_F(JobSchedulerTest, ProcessThatStartsAfterAClockWasSetBackIsTheLaterOne) {
  Job job = JobOf(1, 1000);
  job.steps[0].is_long_running = true;
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), job);
  const auto start = Orders(0);
  ASSERT_EQ(CountStarts(start), 1U);
  scheduler_.OnOrderResult(kFirst, start[0].second, {OrderVerdict::kDone, 1},
                           At(1));
  Report(kFirst, 500, {{Task(0), 1, "", 10, 0}});
  RunnerIncarnation later = kFirst;
  later.instance = "i-2";
  later.start_unix_ms = kFirst.start_unix_ms - 1;
  Report(later, 1000);
  EXPECT_EQ(CountStarts(Orders(1000)), 1U);
}

// Guards against a runner whose tasks run twice: a late report of an agent's
// former process on a runner's former process, which started later by the time
// of day, replaced the one that holds them.
TEST_F(JobSchedulerTest, LateReportOfAFormerAgentReplacesNoProcess) {
  RunnerIncarnation later = kFirst;
  later.instance = "i-2";
  later.start_unix_ms = kFirst.start_unix_ms - 1;
  RunnerReport former = ReportOf(kFirst);
  former.agent_start_unix_ms = 1;
  former.sent_at_ms = 500;
  RunnerReport present = ReportOf(later);
  present.agent_start_unix_ms = 1;
  present.sent_at_ms = 600;
  EXPECT_TRUE(scheduler_.OnReport(former, At(500)));
  EXPECT_TRUE(scheduler_.OnReport(present, At(600)));
  present.agent_start_unix_ms = 2;
  present.sent_at_ms = 10;  // On the clock of the next process of the agent.
  EXPECT_TRUE(scheduler_.OnReport(present, At(900)));
  EXPECT_FALSE(scheduler_.OnReport(former, At(901)));
  EXPECT_NE(scheduler_.fleet().Find(later), nullptr);
}

// A runner that fails what it is given, and a task that is to last.
class FailingRunnerTest : public JobSchedulerTest {
 protected:
  // Users allow a lasting task to stand still for 3 s, once the system has had
  // 4 s to recover.
  static constexpr int64_t kLimitMs = 7000;

  // Starts `tasks` lasting tasks on the only runner.
  void StartAll(uint32_t tasks) {
    Job job = JobOf(tasks, 500);
    job.steps[0].is_long_running = true;
    Report(kFirst, 0);
    scheduler_.AddJob(JobId("a"), job);
    ASSERT_EQ(StartedAt(0), tasks);
  }
  // Accepts the starts that are due, and returns their number.
  size_t StartedAt(int64_t now_ms) {
    const RunnerOrders orders = Orders(now_ms);
    for (const auto& [incarnation, order] : orders) {
      scheduler_.OnOrderResult(incarnation, order,
                               {OrderVerdict::kDone, now_ms}, At(now_ms));
      started_.push_back(std::get<StartOrder>(order));
    }
    return orders.size();
  }
  // Reports the end of the run that was started first.
  void EndOne(RunEnd end, int64_t now_ms) {
    const StartOrder run = started_.front();
    started_.erase(started_.begin());
    ended_.push_back({ended_.size() + 1, run.task, run.run, end, {}});
    ReportAll(now_ms);
  }
  void ReportAll(int64_t now_ms) {
    std::vector<ActiveRun> active;
    for (const StartOrder& run : started_) {
      active.push_back({run.task, run.run, "", 10, 0});
    }
    Report(kFirst, now_ms, active, ended_);
  }
  // Returns when the next run is started, or std::nullopt if none is within
  // twice the limit.
  std::optional<int64_t> NextStart(int64_t now_ms) {
    for (const int64_t end_ms = now_ms + 2 * kLimitMs; now_ms < end_ms;
         now_ms += 50) {
      ReportAll(now_ms);
      if (StartedAt(now_ms) > 0) {
        return now_ms;
      }
    }
    return std::nullopt;
  }

  std::vector<StartOrder> started_;
  std::vector<EndedRun> ended_;
};

// Guards against a lasting task that stands still beside an empty runner: all
// of its runs had failed at one moment, and it got nothing for 8 s.
TEST_F(FailingRunnerTest, FailuresOfOneMomentSuspendARunnerBriefly) {
  constexpr uint32_t kTasks = 6;
  constexpr int64_t kFailedMs = 500;
  StartAll(kTasks);
  for (uint32_t i = 0; i < kTasks; ++i) {
    EndOne(RunEnd::kFailed, kFailedMs);
  }
  const auto started_ms = NextStart(kFailedMs);
  ASSERT_TRUE(started_ms);
  EXPECT_LE(*started_ms, kFailedMs + kLimitMs);
}

// Guards against a lasting task that stands still beside an empty runner: one
// failure by a task's own fault suspended it as long as all those before.
TEST_F(FailingRunnerTest, FailureAfterASuspensionSuspendsBriefly) {
  constexpr uint32_t kTasks = 6;
  constexpr int64_t kFailedMs = 500;
  StartAll(kTasks);
  for (uint32_t i = 0; i < kTasks; ++i) {
    EndOne(RunEnd::kFailed, kFailedMs);
  }
  const auto resumed_ms = NextStart(kFailedMs);
  ASSERT_TRUE(resumed_ms);
  EndOne(RunEnd::kFailed, *resumed_ms + 100);
  const auto started_ms = NextStart(*resumed_ms + 100);
  ASSERT_TRUE(started_ms);
  EXPECT_LE(*started_ms, kFailedMs + kLimitMs);
}

// Guards against a lasting task that stands still beside an empty runner: tasks
// that failed by their own fault suspended it, and those that it completed
// afterwards did not show that it is sound.
TEST_F(FailingRunnerTest, CompletedRunEndsASuspension) {
  constexpr int64_t kFailedMs = 500;
  StartAll(3);
  EndOne(RunEnd::kFailed, kFailedMs);
  EndOne(RunEnd::kFailed, kFailedMs);
  ASSERT_EQ(StartedAt(kFailedMs), 0U);
  EndOne(RunEnd::kDone, kFailedMs + 100);
  EXPECT_GT(StartedAt(kFailedMs + 100), 0U);
}

// A runner hangs together with its runs.
TEST_F(JobSchedulerTest, MovesAStalledRun) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  const auto start = Orders(0);
  ASSERT_EQ(CountStarts(start), 1U);
  scheduler_.OnOrderResult(kFirst, start[0].second, {OrderVerdict::kDone, 1},
                           At(1));
  bool is_stopped = false;
  for (int64_t now_ms = 100; now_ms < 4000 && !is_stopped; now_ms += 300) {
    Report(kFirst, now_ms, {{Task(0), 1, "", 10, 0}});
    for (const auto& [incarnation, order] : Orders(now_ms)) {
      is_stopped = std::holds_alternative<StopOrder>(order);
    }
  }
  EXPECT_TRUE(is_stopped);
}

// A resumed run has done part of its work elsewhere. Counted as done here, it
// would hide that the runner is slow.
TEST_F(JobSchedulerTest, JudgesASlowRunnerByWhatARunDidThere) {
  Job job = JobOf(1, 1000);
  job.steps[0].estimated_ms = 1000;
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), job);
  const auto orders = Orders(0);
  ASSERT_EQ(orders.size(), 1U);
  scheduler_.OnOrderResult(kFirst, orders[0].second, {OrderVerdict::kDone, 50},
                           At(50));
  for (int64_t now_ms = 100; now_ms <= 1300; now_ms += 400) {
    const auto percent = static_cast<uint32_t>(60 + (now_ms - 100) / 60);
    Report(kFirst, now_ms, {{Task(0), 1, "", percent, 0}});
  }
  EXPECT_GT(scheduler_.fleet().Find(kFirst)->slowness, 1.5);
}

// A runner does not answer orders: a pace order that may have been lost is
// resent.
TEST_F(JobSchedulerTest, RepeatsAPaceThatWasNotAnswered) {
  Job serving = JobOf(1, 1000);
  serving.steps[0].image = "s";
  serving.steps[0].tail_target_ms = 50;
  serving.steps[0].is_long_running = true;
  Job filler = JobOf(1, 1000);
  filler.steps[0].image = "f";
  filler.steps[0].is_filler = true;
  scheduler_.AddJob(JobId("b"), serving);
  scheduler_.AddJob(JobId("a"), filler);
  Report(kFirst, 1);
  Orders(1);
  const std::vector<ActiveRun> active = {
      {Task(0), 1, "", 5, 1000}, {{JobId("b"), 0, 0, 0}, 1, "", 100, 200}};
  size_t paces = 0;
  for (int64_t now_ms = 500; now_ms <= 4000; now_ms += 500) {
    Report(kFirst, now_ms, active);
    for (const auto& [incarnation, order] : Orders(now_ms)) {
      if (std::holds_alternative<PaceOrder>(order)) {
        ++paces;
        scheduler_.OnOrderResult(incarnation, order, {}, At(now_ms));
      }
    }
  }
  EXPECT_GE(paces, 3U);
}

// Guards against a job of fillers that never starts because other fillers hold
// all capacity that serving tasks leave while they are slowed to a stop.
TEST_F(JobSchedulerTest, FillersThatWaitLongStartWithoutRoom) {
  Job job = JobOf(1, 3000);
  job.steps[0].is_filler = true;
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), job);
  scheduler_.AddJob(JobId("b"), job);
  EXPECT_EQ(CountStarts(Orders(0)), 1U);
  size_t starts = 0;
  for (int64_t now_ms = 300; now_ms <= 1800; now_ms += 300) {
    Report(kFirst, now_ms, {{Task(0), 1, "", 0, 0}});
    starts += CountStarts(Orders(now_ms));
  }
  EXPECT_EQ(starts, 1U);
}

// The same for a gang, which starts as a whole or not at all.
TEST_F(JobSchedulerTest, GangOfFillersThatWaitsLongStartsWithoutRoom) {
  Job filler = JobOf(1, 3000);
  filler.steps[0].is_filler = true;
  Job gang = JobOf(3, 1000);
  gang.steps[0].is_filler = true;
  gang.steps[0].is_gang = true;
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), filler);
  EXPECT_EQ(CountStarts(Orders(0)), 1U);
  scheduler_.AddJob(JobId("b"), gang);
  size_t starts = 0;
  uint32_t percent = 0;
  int64_t started_ms = 0;
  for (int64_t now_ms = 300; now_ms <= 2400 && starts == 0; now_ms += 300) {
    Report(kFirst, now_ms, {{Task(0), 1, "", ++percent, 0}});
    starts = CountStarts(Orders(now_ms));
    started_ms = now_ms;
  }
  EXPECT_EQ(starts, 3U);
  EXPECT_GE(started_ms, 300 + JobSchedulerSettings().longest_wait.count());
}

// Services that fill the fleet were placed before anything was known of their
// images; once it is, the ones that close a runner to fillers move, one task of
// a step at a time.
TEST_F(JobSchedulerTest, MovesServingTasksToThoseOfLikeSensitivity) {
  scheduler_.ImportLearned({{{"disk", "disk-filler", 10, 0.5},
                             {"disk", "cache-filler", 0, 0.5},
                             {"cache", "disk-filler", 0, 0.5},
                             {"cache", "cache-filler", 10, 0.5}},
                            {}});
  const auto serving = [&](const std::string& image, uint32_t tasks) {
    Job job = JobOf(tasks, 1000);
    job.steps[0].image = image;
    job.steps[0].tail_target_ms = 50;
    job.steps[0].is_long_running = true;
    return job;
  };
  const TaskKey misplaced{JobId("b"), 0, 0, 0};
  scheduler_.AddJob(JobId("a"), serving("disk", 3));
  scheduler_.AddJob(JobId("b"), serving("cache", 1));
  Report(kFirst, 0);
  EXPECT_EQ(CountStarts(Orders(0)), 4U);
  scheduler_.AddJob(JobId("c"), serving("cache", 2));
  Report(kSecond, 10);
  EXPECT_EQ(CountStarts(Orders(10)), 2U);
  size_t stops = 0;
  for (int64_t now_ms = 500; now_ms <= 3500 && stops == 0; now_ms += 500) {
    const auto listed = [](const TaskKey& task) {
      return ActiveRun{task, 1, "", 100, 20};
    };
    Report(
        kFirst, now_ms,
        {listed(Task(0)), listed(Task(1)), listed(Task(2)), listed(misplaced)});
    Report(kSecond, now_ms,
           {listed({JobId("c"), 0, 0, 0}), listed({JobId("c"), 0, 0, 1})});
    for (const auto& [incarnation, order] : Orders(now_ms)) {
      if (const auto* stop = std::get_if<StopOrder>(&order)) {
        EXPECT_EQ(stop->task, misplaced);
        ++stops;
      }
    }
  }
  EXPECT_EQ(stops, 1U);
}

TEST_F(JobSchedulerTest, SuspendsARunnerAfterRepeatedFailures) {
  Report(kFirst, 0);
  for (const char* id : {"x", "y"}) {
    scheduler_.AddJob(JobId(id), JobOf(1, 1000));
  }
  Orders(0);
  Report(kFirst, 100, {},
         {{1, {JobId("x"), 0, 0, 0}, 1, RunEnd::kFailed, ""},
          {2, {JobId("y"), 0, 0, 0}, 1, RunEnd::kFailed, ""}});
  EXPECT_EQ(CountStarts(Orders(100)), 0U);
  Report(kSecond, 200);
  EXPECT_EQ(CountStarts(Orders(200)), 2U);
}

// Guards against a task that runs on although its runner was given up: a report
// from before brought a lease that nobody counted, and with it a start that was
// still on its way.
TEST_F(JobSchedulerTest, RunnerThatWasGivenUpGetsNoLeaseForAnEarlierReport) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  ASSERT_EQ(CountStarts(Orders(0)), 1U);
  constexpr int64_t kExpiredMs = 7000;
  Report(kSecond, kExpiredMs);
  ASSERT_EQ(CountStarts(Orders(kExpiredMs)), 1U);
  ASSERT_EQ(scheduler_.fleet().Find(kFirst), nullptr);
  EXPECT_FALSE(scheduler_.MayLease(kFirst, At(kExpiredMs)));
}

// Guards against completions that are acknowledged and forgotten: the agent had
// taken its runner for ended, and the leader had released its tasks.
TEST_F(JobSchedulerTest, CompletionOnARunnerThatWasTakenForEndedIsKept) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  ASSERT_EQ(CountStarts(Orders(0)), 1U);
  Report(kFirst, 100, {{Task(0), 1, "", 10, 0}});
  RunnerReport gone = ReportOf(kFirst);
  gone.state = RunnerState::kGone;
  gone.sent_at_ms = 200;
  scheduler_.OnReport(gone, At(200));
  Store();
  Report(kFirst, 500, {}, {{1, Task(0), 1, RunEnd::kDone, ""}});
  Store();
  EXPECT_TRUE(scheduler_.RecordedEnds(kFirst) == 0 ||
              stored_.at(JobId("a")).outcome == JobOutcome::kCompleted);
}

// Guards against completions that are acknowledged and forgotten, since the
// leader had given the run up when the lease of its runner lapsed.
TEST_F(JobSchedulerTest, CompletionOfARunThatWasGivenUpIsKept) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  ASSERT_EQ(CountStarts(Orders(0)), 1U);
  Orders(7000);
  ASSERT_EQ(scheduler_.fleet().Find(kFirst), nullptr);
  Report(kFirst, 7100, {}, {{1, Task(0), 1, RunEnd::kDone, ""}});
  Store();
  EXPECT_TRUE(scheduler_.RecordedEnds(kFirst) == 0 ||
              stored_.at(JobId("a")).outcome == JobOutcome::kCompleted);
}

// The users' pages don't say in which order a runner lists its ends.
TEST_F(JobSchedulerTest, EndsCountInWhateverOrderTheyAreListed) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(2, 1000));
  ASSERT_EQ(CountStarts(Orders(0)), 2U);
  Report(
      kFirst, 500, {},
      {{2, Task(1), 1, RunEnd::kDone, ""}, {1, Task(0), 1, RunEnd::kDone, ""}});
  Store();
  EXPECT_EQ(scheduler_.RecordedEnds(kFirst), 2U);
  EXPECT_EQ(stored_.at(JobId("a")).outcome, JobOutcome::kCompleted);
}

}  // namespace
}  // namespace papayadrift::jobs
