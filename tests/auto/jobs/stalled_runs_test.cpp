#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "job_scheduler_fixture.h"

// Runs that stand still, and runs that are only slow to show progress, which is
// a whole number of percents.

namespace papayadrift::jobs {
namespace {

class StalledRunsTest : public JobSchedulerTest {
 protected:
  static constexpr int64_t kPeriodMs = 100;  // Of reports.

  static Job LongJob(uint32_t tasks, int64_t estimated_ms) {
    Job job = JobOf(tasks, 500);
    job.steps[0].estimated_ms = estimated_ms;
    return job;
  }

  // Emulates the first runner, on which each task takes `work_ms` and those of
  // `hanging` show no progress, until `end_ms`.
  void Play(int64_t begin_ms,
            int64_t end_ms,
            int64_t work_ms,
            const std::vector<JobId>& hanging = {}) {
    for (int64_t now_ms = begin_ms; now_ms < end_ms; now_ms += kPeriodMs) {
      std::vector<ActiveRun> active;
      for (auto& [task, run] : runs_) {
        if (std::ranges::find(hanging, task.job) == hanging.end()) {
          run.percent =
              static_cast<uint32_t>((now_ms - run.started_ms) * 100 / work_ms);
        }
        active.push_back({task, run.number, "", run.percent, 500});
      }
      Report(kFirst, now_ms, active, ended_);
      for (const auto& [incarnation, order] : Orders(now_ms)) {
        if (const auto* start = std::get_if<StartOrder>(&order)) {
          runs_[start->task] = {start->run, now_ms};
          ++starts_;
        } else if (const auto* stop = std::get_if<StopOrder>(&order)) {
          ++stops_;
          last_stop_ms_ = now_ms;
          if (runs_.erase(stop->task) > 0) {
            ended_.push_back(
                {++ends_, stop->task, stop->run, RunEnd::kStopped, ""});
          }
        }
        scheduler_.OnOrderResult(incarnation, order,
                                 {OrderVerdict::kDone, now_ms}, At(now_ms));
      }
      idle_ms_ = runs_.empty() ? idle_ms_ + kPeriodMs : 0;
      worst_idle_ms_ = std::max(worst_idle_ms_, idle_ms_);
    }
  }

  size_t Suspensions() const {
    return static_cast<size_t>(
        std::ranges::count(events_, JobSchedulerEvent::Kind::kRunnerSuspended,
                           &JobSchedulerEvent::kind));
  }

  struct Emulated {
    uint32_t number = 0;
    int64_t started_ms = 0;
    uint32_t percent = 0;
  };
  std::map<TaskKey, Emulated> runs_;
  std::vector<EndedRun> ended_;
  uint64_t ends_ = 0;
  size_t starts_ = 0;
  size_t stops_ = 0;
  int64_t last_stop_ms_ = 0;
  int64_t idle_ms_ = 0;  // In a row, by now.
  int64_t worst_idle_ms_ = 0;
};

// Guards against tasks of minutes that are stopped after two seconds, for ever,
// as one percent of them takes longer than a stall.
TEST_F(StalledRunsTest, TaskOfTenMinutesIsNotStopped) {
  scheduler_.AddJob(JobId("a"), LongJob(4, 600'000));
  Play(0, 60'000, 600'000);
  EXPECT_EQ(starts_, 4U);
  EXPECT_EQ(stops_, 0U);
}

// The same with an estimate that is too small by the factor that callers are
// known to be off by.
TEST_F(StalledRunsTest, EstimateTenTimesTooSmallStopsNoTask) {
  scheduler_.AddJob(JobId("a"), LongJob(4, 60'000));
  Play(0, 60'000, 600'000);
  EXPECT_EQ(stops_, 0U);
}

// Guards against tasks whose duration nobody knows and that are stopped again
// and again: each stop doubles the limit of the task.
TEST_F(StalledRunsTest, TaskWithoutAnEstimateIsStoppedAFewTimesOnly) {
  scheduler_.AddJob(JobId("a"), LongJob(4, 0));
  Play(0, 120'000, 600'000);
  EXPECT_LE(starts_, 4U * 3);
  EXPECT_EQ(runs_.size(), 4U);
  EXPECT_LT(last_stop_ms_, 15'000);
  EXPECT_LT(worst_idle_ms_, 1000);
  EXPECT_EQ(Suspensions(), 0U);
}

// Guards against a kind of short tasks of which a few take minutes: what was
// learned of the kind doesn't hold for them.
TEST_F(StalledRunsTest, LongTaskOfAShortKindIsNotStopped) {
  scheduler_.ImportLearned({{}, {{"queue/q", 600, 50}}});
  scheduler_.AddJob(JobId("a"), LongJob(2, 180'000));
  Play(0, 30'000, 180'000);
  EXPECT_EQ(stops_, 0U);
}

// Guards against a run that hangs for good since its task is a long one: what
// it did before tells how fast it should be.
TEST_F(StalledRunsTest, RunThatStopsAdvancingIsFoundByItsOwnPace) {
  scheduler_.AddJob(JobId("a"), LongJob(1, 600'000));
  Play(0, 10'000, 20'000);  // 50 percent in 10 s.
  ASSERT_EQ(stops_, 0U);
  Play(10'000, 13'000, 20'000, {JobId("a")});
  EXPECT_GE(stops_, 1U);
}

// Guards against short tasks that stand still for longer than users allow.
TEST_F(StalledRunsTest, ShortTasksOnAHangingRunnerAreFoundAsBefore) {
  scheduler_.AddJob(JobId("a"), LongJob(2, 2000));
  Play(0, 2000, 2000, {JobId("a")});
  EXPECT_EQ(stops_, 2U);
  // Two tasks at once are the runner's fault.
  EXPECT_EQ(Suspensions(), 1U);
}

// Guards against a sound runner that is taken out because one task hangs.
TEST_F(StalledRunsTest, OneStalledRunSuspendsNoRunner) {
  scheduler_.AddJob(JobId("a"), LongJob(1, 2000));
  scheduler_.AddJob(JobId("b"), LongJob(1, 4000));
  Play(0, 2500, 4000, {JobId("a")});
  EXPECT_GE(stops_, 1U);
  EXPECT_EQ(Suspensions(), 0U);
}

// Guards against a runner that hangs, runs one task at a time and is given the
// next one over and over.
TEST_F(StalledRunsTest, SecondTaskThatStallsSuspendsTheRunner) {
  const std::vector<JobId> hanging = {JobId("a"), JobId("b")};
  Job job = JobOf(1, 4000);
  job.steps[0].estimated_ms = 2000;
  scheduler_.AddJob(JobId("a"), job);
  Play(0, 1000, 2000, hanging);
  job.steps[0].estimated_ms = 1000;  // Ranks first.
  scheduler_.AddJob(JobId("b"), job);
  Play(1000, 5000, 2000, hanging);
  EXPECT_GE(stops_, 2U);
  EXPECT_EQ(Suspensions(), 1U);
}

}  // namespace
}  // namespace papayadrift::jobs
