#include "jobs/work_order.h"

#include <gtest/gtest.h>

namespace papayadrift::jobs {
namespace {

Job JobOf(int64_t accepted_ms, int64_t estimated_ms) {
  Job job;
  job.accepted_ms = accepted_ms;
  job.steps.resize(1);
  job.steps[0].estimated_ms = estimated_ms;
  return job;
}

TEST(WorkOrderTest, ChainTakesTheLongestPath) {
  Job job;
  job.steps.resize(3);
  job.steps[0].estimated_ms = 100;
  job.steps[1].estimated_ms = 40;
  job.steps[2].estimated_ms = 10;
  job.steps[2].depends_on = {0, 1};
  EXPECT_EQ(CriticalPathsMs(job, DurationEstimator()),
            (std::vector<int64_t>{110, 50, 10}));
}

TEST(WorkOrderTest, LateBurstDoesNotPassWorkThatCanBeInTime) {
  Queue queue;
  queue.target_factor = 2;
  queue.target_extra_ms = 100;
  const Job fresh = JobOf(9000, 1000);
  const Job stale = JobOf(0, 1000);
  EXPECT_LT(RankOf(fresh, queue, 0, 1000, 1000, 10000),
            RankOf(stale, queue, 0, 1000, 1000, 10000));
}

// In a burst of large jobs, one that can still meet its target goes before an
// earlier one that can't.
TEST(WorkOrderTest, WorkThatCanBeInTimePassesLateWork) {
  Queue queue;
  queue.target_factor = 2;
  const Job late = JobOf(0, 1000);
  const Job fresh = JobOf(1500, 1000);
  EXPECT_LT(RankOf(fresh, queue, 0, 1000, 1000, 1600),
            RankOf(late, queue, 0, 1000, 1000, 1600));
}

TEST(DurationEstimatorTest, ObservedRunsReplaceTheEstimate) {
  DurationEstimator estimator;
  Step step;
  step.estimated_ms = 200;
  step.image = "i";
  EXPECT_EQ(estimator.Expect("q", step), 200);
  for (int i = 0; i < 3; ++i) {
    estimator.Observe("q", step, 1700);
  }
  EXPECT_EQ(estimator.Expect("q", step), 1700);
  step.image = "other";
  EXPECT_EQ(estimator.Expect("q", step), 200);
}

TEST(WorkOrderTest, LongRunningWorkIsNeverPastItsCutoff) {
  Queue queue;
  Job long_running = JobOf(0, 0);
  long_running.steps[0].is_long_running = true;
  EXPECT_FALSE(RankOf(long_running, queue, 0, 0, 0, 1000000).is_past_cutoff);
}

TEST(WorkOrderTest, OccurrencesAreDueOneAfterTheOther) {
  Job job = JobOf(500, 10);
  job.first_due_ms = 1000;
  job.interval_ms = 200;
  EXPECT_EQ(DueMs(job, 0), 1000);
  EXPECT_EQ(DueMs(job, 3), 1600);
}

}  // namespace
}  // namespace papayadrift::jobs
