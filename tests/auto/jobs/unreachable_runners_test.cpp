// Runners whose addresses refuse connections.

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "job_scheduler_fixture.h"

namespace papayadrift::jobs {
namespace {

constexpr int64_t kReportMs = 500;

class UnreachableRunnersTest : public JobSchedulerTest {
 protected:
  static bool Send(JobScheduler& scheduler,
                   RunnerReport report,
                   int64_t now_ms) {
    report.sent_at_ms = now_ms;
    return scheduler.OnReport(report, At(now_ms));
  }
  // A report of `kFirst` while its address refuses connections.
  RunnerReport Unreachable(int64_t listed_ms, int64_t crash_ms) const {
    RunnerReport report = ReportOf(kFirst);
    report.listed_at_ms = listed_ms;
    report.active = {{Task(0), 1, {}, 10}};
    report.is_unreachable = true;
    report.crash = CrashTime{crash_ms, crash_ms};
    return report;
  }
  // Starts one task on `kFirst`, which is listed at 500 ms.
  void StartTask() {
    Report(kFirst, 0);
    scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
    const auto orders = Orders(0);
    ASSERT_EQ(CountStarts(orders), 1U);
    scheduler_.OnOrderResult(kFirst, orders[0].second, {OrderVerdict::kDone, 0},
                             At(0));
    Report(kFirst, kReportMs, {{Task(0), 1, {}, 10}});
  }
  bool HasEvent(JobSchedulerEvent::Kind kind) const {
    return std::ranges::find(events_, kind, &JobSchedulerEvent::kind) !=
           events_.end();
  }
  const jobs::Run* RunOnFirst() const {
    const Runner* runner = scheduler_.fleet().Find(kFirst);
    if (runner == nullptr) {
      return nullptr;
    }
    const auto it = runner->runs.find(Task(0));
    return it == runner->runs.end() ? nullptr : &it->second;
  }
};

// Guards against a task that runs twice while its runner lives behind a path
// that refuses connections, and against a stop of it for want of progress.
TEST_F(UnreachableRunnersTest, RunsGoOnWhenTheRunnerIsReachedAgain) {
  StartTask();
  constexpr int64_t kCutEndMs = 5500;
  int64_t now_ms = kReportMs;
  Report(kSecond, now_ms);
  while ((now_ms += kReportMs) < kCutEndMs) {
    Send(scheduler_, Unreachable(kReportMs, now_ms), now_ms);
    EXPECT_FALSE(scheduler_.MayLease(kFirst, At(now_ms)));
    Report(kSecond, now_ms);
    EXPECT_TRUE(Orders(now_ms).empty());
  }
  Report(kFirst, now_ms, {{Task(0), 1, {}, 10}});
  EXPECT_TRUE(scheduler_.MayLease(kFirst, At(now_ms)));
  EXPECT_TRUE(Orders(now_ms).empty());
  ASSERT_NE(RunOnFirst(), nullptr);
  EXPECT_FALSE(RunOnFirst()->is_withdrawn);
  EXPECT_EQ(scheduler_.fleet().Find(kFirst)->suspended_until, Instant());
}

// The same for a path on which calls get no answer: the agent repeats the last
// lists, which tell nothing of progress since then.
TEST_F(UnreachableRunnersTest, RunsGoOnWhenCallsAreAnsweredAgain) {
  StartTask();
  constexpr int64_t kCutEndMs = 5500;
  int64_t now_ms = kReportMs;
  while ((now_ms += kReportMs) < kCutEndMs) {
    RunnerReport report = ReportOf(kFirst);
    report.listed_at_ms = kReportMs;
    report.active = {{Task(0), 1, {}, 10}};
    Send(scheduler_, report, now_ms);
    EXPECT_TRUE(Orders(now_ms).empty());
  }
  Report(kFirst, now_ms, {{Task(0), 1, {}, 10}});
  EXPECT_TRUE(Orders(now_ms).empty());
  ASSERT_NE(RunOnFirst(), nullptr);
  EXPECT_FALSE(RunOnFirst()->is_withdrawn);
}

// Lists that are answered and show no progress are evidence of a stall, also if
// each report but every other one repeats the last.
TEST_F(UnreachableRunnersTest, RepeatedListsDoNotHideAStall) {
  StartTask();
  int64_t now_ms = kReportMs;
  constexpr int64_t kLimitMs = 5000;  // 3 s without an estimate, and reports.
  while (now_ms < kLimitMs && !RunOnFirst()->is_withdrawn) {
    RunnerReport report = ReportOf(kFirst);
    report.listed_at_ms = now_ms;
    report.active = {{Task(0), 1, {}, 10}};
    Send(scheduler_, report, now_ms);
    Send(scheduler_, report, now_ms + kReportMs);
    now_ms += 2 * kReportMs;
  }
  EXPECT_TRUE(RunOnFirst()->is_withdrawn);
}

TEST_F(UnreachableRunnersTest, UnreachableRunnerGetsNoStarts) {
  StartTask();
  Send(scheduler_, Unreachable(kReportMs, 600), 700);
  scheduler_.AddJob(JobId("b"), JobOf(1, 1000));
  EXPECT_EQ(CountStarts(Orders(700)), 0U);
  Report(kFirst, 1000, {{Task(0), 1, {}, 10}});
  EXPECT_EQ(CountStarts(Orders(1000)), 1U);
}

// Agents of the earlier version report that the runner has ended after two
// refused connections, while its runs go on.
TEST_F(UnreachableRunnersTest, RefusalsToAnEarlierAgentAreNoEndOfTheRunner) {
  StartTask();
  Report(kSecond, kReportMs);
  RunnerReport ended = ReportOf(kFirst);
  ended.state = RunnerState::kGone;
  ended.crash = CrashTime{600, 700};
  EXPECT_TRUE(Send(scheduler_, ended, 700));
  EXPECT_FALSE(scheduler_.MayLease(kFirst, At(700)));
  EXPECT_TRUE(Orders(700).empty());
  ASSERT_NE(RunOnFirst(), nullptr);
  // Its next process is known at once, and the crash with it.
  Send(scheduler_, ReportOf({"node-1", "i-9", 2000}), 1100);
  EXPECT_TRUE(HasEvent(JobSchedulerEvent::Kind::kRunnerCrashed));
  Report(kSecond, 1100);
  EXPECT_EQ(CountStarts(Orders(1100)), 1U);
}

// The agent is restarted in a later version, or the path is whole again.
TEST_F(UnreachableRunnersTest, RunsGoOnAfterTheEndThatAnEarlierAgentReported) {
  StartTask();
  RunnerReport ended = ReportOf(kFirst);
  ended.state = RunnerState::kGone;
  ended.crash = CrashTime{600, 700};
  Send(scheduler_, ended, 700);
  Report(kFirst, 3000, {{Task(0), 1, {}, 40}});
  EXPECT_TRUE(scheduler_.MayLease(kFirst, At(3000)));
  EXPECT_TRUE(Orders(3000).empty());
  ASSERT_NE(RunOnFirst(), nullptr);
  EXPECT_FALSE(RunOnFirst()->is_withdrawn);
}

// A runner that has crashed for good is lost, and its tasks that had just
// started are suspected, once its lease has ended.
TEST_F(UnreachableRunnersTest, RunnerThatStaysUnreachableIsLostWithItsLease) {
  StartTask();
  Report(kSecond, kReportMs);
  const int64_t lease_end_ms =
      std::chrono::floor<milliseconds>(
          scheduler_.fleet().Find(kFirst)->lease_expires_at.time_since_epoch())
          .count();
  int64_t now_ms = kReportMs;
  while (RunOnFirst() != nullptr && !RunOnFirst()->is_withdrawn) {
    now_ms += 100;
    ASSERT_LE(now_ms, lease_end_ms + 200);
    Send(scheduler_, Unreachable(kReportMs, 600), now_ms);
    Report(kSecond, now_ms);
    Orders(now_ms);
  }
  EXPECT_GT(now_ms, lease_end_ms);
  EXPECT_TRUE(HasEvent(JobSchedulerEvent::Kind::kRunnerCrashed));
  EXPECT_EQ(stored_.at(JobId("a")).tasks.at(Task(0)).crashes, 1U);
  // Its next process must not count the same crash again.
  events_.clear();
  Send(scheduler_, Unreachable(kReportMs, 600), now_ms + 100);
  RunnerReport next = ReportOf({"node-1", "i-1", 2000});
  next.earlier_crash = CrashTime{600, 600};
  Send(scheduler_, next, now_ms + 200);
  EXPECT_FALSE(HasEvent(JobSchedulerEvent::Kind::kRunnerCrashed));
}

// Guards against a recovery that takes a whole lease although the next process
// is there, and against a crash that no task is suspected of.
TEST_F(UnreachableRunnersTest, LaterProcessEndsTheEarlierOneAtOnce) {
  StartTask();
  Report(kSecond, kReportMs);
  Send(scheduler_, Unreachable(kReportMs, 600), 700);
  EXPECT_TRUE(Orders(700).empty());
  Send(scheduler_, ReportOf({"node-1", "i-9", 2000}), 1100);
  EXPECT_TRUE(HasEvent(JobSchedulerEvent::Kind::kRunnerCrashed));
  Report(kSecond, 1100);
  EXPECT_EQ(CountStarts(Orders(1100)), 1U);
  EXPECT_EQ(stored_.at(JobId("a")).tasks.at(Task(0)).crashes, 1U);
}

// The leader was killed while the runner was unreachable: the next one has had
// no report of the earlier process.
TEST_F(UnreachableRunnersTest, NextLeaderKnowsOfTheCrashFromTheLaterProcess) {
  StartTask();
  Orders(kReportMs);
  JobScheduler next(JobSchedulerSettings(), At(1000), nullptr, At(kReportMs));
  next.AddJob(JobId("a"), JobOf(1, 1000));
  next.Restore(JobId("a"), stored_.at(JobId("a")));
  RunnerReport report = ReportOf({"node-1", "i-9", 2000});
  report.earlier_crash = CrashTime{600, 700};
  report.sent_at_ms = 1100;
  next.OnReport(report, At(1100));
  const auto changes = next.TakeChanges();
  ASSERT_EQ(changes.tasks.size(), 1U);
  EXPECT_EQ(changes.tasks[0].second->phase, TaskPhase::kWaiting);
}

// The same without a later process: the runs are kept until the leases of the
// earlier leader have ended.
TEST_F(UnreachableRunnersTest, NextLeaderKeepsRunsOfAnUnreachableRunner) {
  StartTask();
  Orders(kReportMs);
  JobScheduler next(JobSchedulerSettings(), At(1000), nullptr, At(kReportMs));
  next.AddJob(JobId("a"), JobOf(1, 1000));
  next.Restore(JobId("a"), stored_.at(JobId("a")));
  for (int64_t now_ms = 1100; now_ms <= 6000; now_ms += kReportMs) {
    RunnerReport report = Unreachable(kReportMs, 600);
    report.sent_at_ms = now_ms;
    next.OnReport(report, At(now_ms));
    next.OnJobsViewed(At(now_ms));
    next.Advance(At(now_ms), now_ms);
    EXPECT_FALSE(next.MayLease(kFirst, At(now_ms)));
    ASSERT_NE(next.fleet().Find(kFirst), nullptr);
    EXPECT_EQ(next.fleet().Find(kFirst)->runs.size(), 1U);
  }
}

}  // namespace
}  // namespace papayadrift::jobs
