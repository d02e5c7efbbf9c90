// Which jobs are stored as begun.

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <ranges>
#include <variant>
#include <vector>

#include "job_scheduler_fixture.h"

namespace papayadrift::jobs {
namespace {

class BegunJobsTest : public JobSchedulerTest {
 protected:
  bool IsStoredAsStarted() const {
    const auto it = stored_.find(JobId("a"));
    return it != stored_.end() &&
           std::ranges::any_of(it->second.tasks | std::views::values,
                               HasStarted);
  }
};

// Guards against jobs that are left out of the count of those that wait: their
// starts are refused, again and again.
TEST_F(BegunJobsTest, RefusedStartIsNone) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(2, 1000));
  uint32_t refused = 0;
  for (int64_t now_ms = 0; now_ms < 6500; now_ms += 100) {
    Report(kFirst, now_ms);
    for (const auto& [runner, order] : Orders(now_ms)) {
      scheduler_.OnOrderResult(runner, order,
                               {OrderVerdict::kUnhealthy, now_ms}, At(now_ms));
      ++refused;
    }
    Store();
    EXPECT_FALSE(IsStoredAsStarted());
  }
  EXPECT_GT(refused, 2U);
}

// The same for starts that a runner has not answered when it crashes: their
// tasks are suspected of the crash, but may not have begun.
TEST_F(BegunJobsTest, SuspicionOfACrashIsNoStart) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(2, 1000));
  ASSERT_EQ(CountStarts(Orders(0)), 2U);
  RunnerReport next = ReportOf({"node-1", "i-1", 2000});
  next.sent_at_ms = 100;
  next.earlier_crash = CrashTime{0, 50};
  scheduler_.OnReport(next, At(100));
  Store();
  EXPECT_EQ(stored_.at(JobId("a")).tasks.at(Task(0)).crashes, 1U);
  EXPECT_FALSE(IsStoredAsStarted());
}

// Records of the earlier version don't tell whether a run was started.
TEST(HasStartedTest, EarlierRecordsCountOnceARunHasHadAnEffect) {
  TaskProgress task;
  task.phase = TaskPhase::kClaimed;
  task.run = 1;
  EXPECT_FALSE(HasStarted(task));
  task.crashes = 1;
  EXPECT_TRUE(HasStarted(task));
  task.crashed_run = 1;
  EXPECT_FALSE(HasStarted(task));
  task.failures = 1;
  EXPECT_TRUE(HasStarted(task));
}

// Writes are priced: short tasks cost no record more, and a job whose tasks
// take longer costs one.
TEST_F(BegunJobsTest, StartIsStoredWithTheNextChangeOrAfterASecond) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(3, 1000));
  std::vector<ActiveRun> active;
  for (const auto& [runner, order] : Orders(0)) {
    scheduler_.OnOrderResult(runner, order, {OrderVerdict::kDone, 0}, At(0));
    active.push_back({std::get<StartOrder>(order).task, 1, {}, 1});
  }
  ASSERT_EQ(active.size(), 3U);
  EXPECT_EQ(stored_tasks_, 3U);  // The claims.
  for (int64_t now_ms = 100; now_ms < 1000; now_ms += 100) {
    Report(kFirst, now_ms, active);
    Orders(now_ms);
    EXPECT_EQ(stored_tasks_, 3U);
  }
  EXPECT_FALSE(IsStoredAsStarted());
  for (int64_t now_ms = 1000; now_ms < 5000; now_ms += 100) {
    for (ActiveRun& run : active) {
      ++run.percent;
    }
    Report(kFirst, now_ms, active);
    Orders(now_ms);
    EXPECT_TRUE(IsStoredAsStarted());
    EXPECT_EQ(stored_tasks_, 4U);
  }
}

TEST_F(BegunJobsTest, ShortTasksCostNoRecordMore) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(2, 1000));
  for (const auto& [runner, order] : Orders(0)) {
    scheduler_.OnOrderResult(runner, order, {OrderVerdict::kDone, 0}, At(0));
  }
  Report(kFirst, 600, {{Task(1), 1, {}, 50}},
         {{1, Task(0), 1, RunEnd::kDone, ""}});
  Orders(600);
  EXPECT_TRUE(IsStoredAsStarted());
  EXPECT_EQ(stored_tasks_, 3U);
  Report(kFirst, 1200, {{Task(1), 1, {}, 80}});
  Orders(1200);
  EXPECT_EQ(stored_tasks_, 3U);
}

// The leader is killed after a start: the next one finds out from the list.
TEST_F(BegunJobsTest, NextLeaderStoresAStartThatIsListed) {
  Report(kFirst, 0);
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  ASSERT_EQ(CountStarts(Orders(0)), 1U);
  JobScheduler next(JobSchedulerSettings(), At(1000), nullptr, At(0));
  next.AddJob(JobId("a"), JobOf(1, 1000));
  next.Restore(JobId("a"), stored_.at(JobId("a")));
  bool is_stored = false;
  for (int64_t now_ms = 1000; now_ms <= 2500; now_ms += 100) {
    RunnerReport report = ReportOf(kFirst);
    report.sent_at_ms = report.listed_at_ms = now_ms;
    report.active = {{Task(0), 1, {}, static_cast<uint32_t>(now_ms / 100)}};
    next.OnReport(report, At(now_ms));
    next.Advance(At(now_ms), now_ms);
    for (const auto& [task, progress] : next.TakeChanges().tasks) {
      is_stored = is_stored || (progress && HasStarted(*progress));
    }
  }
  EXPECT_TRUE(is_stored);
}

}  // namespace
}  // namespace papayadrift::jobs
