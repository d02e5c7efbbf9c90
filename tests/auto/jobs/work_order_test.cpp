#include "jobs/work_order.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "jobs/codec.h"
#include "jobs/duration_estimator.h"
#include "jobs/learned_model.h"

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
  job.steps[2].depends_on = {0, 1};
  EXPECT_EQ(CriticalPathsMs(job, {100, 40, 10}),
            (std::vector<int64_t>{110, 50, 10}));
}

TEST(WorkOrderTest, LateBurstDoesNotPassWorkThatCanBeInTime) {
  Queue queue;
  queue.target_factor = 2;
  queue.target_extra_ms = 100;
  const Job fresh = JobOf(9000, 1000);
  const Job stale = JobOf(0, 1000);
  EXPECT_LT(RankOf(fresh, queue, 0, 1000, 1000, 0, 10000),
            RankOf(stale, queue, 0, 1000, 1000, 0, 10000));
}

// In a burst of large jobs, one that can still meet its target goes before an
// earlier one that can't.
TEST(WorkOrderTest, WorkThatCanBeInTimePassesLateWork) {
  Queue queue;
  queue.target_factor = 2;
  const Job late = JobOf(0, 1000);
  const Job fresh = JobOf(1500, 1000);
  EXPECT_LT(RankOf(fresh, queue, 0, 1000, 1000, 0, 1600),
            RankOf(late, queue, 0, 1000, 1000, 0, 1600));
}

// In a burst of batch jobs of very different size, capacity spread over all of
// them makes all of them late.
TEST(WorkOrderTest, LeastRemainingWorkGoesFirst) {
  Queue queue;
  queue.target_factor = 10;
  Job large = JobOf(0, 1000);
  large.steps[0].count = 40;
  large.steps[0].need = {7000, 100, 0};
  Job small = JobOf(500, 1000);
  small.steps[0].count = 4;
  small.steps[0].need = {7000, 100, 0};
  const std::vector<int64_t> expected_ms = {1000};
  const auto work_of = [&](const Job& job, const JobProgress& progress) {
    return RemainingWork(job, TallyOf(job, progress).occurrences[0],
                         expected_ms);
  };
  const auto rank = [&](const Job& job, int64_t work) {
    return RankOf(job, queue, 0, 1000, 1000, work, 600);
  };
  JobProgress progress = InitialProgress(large);
  const int64_t large_work = work_of(large, progress);
  EXPECT_EQ(large_work, 40 * 7000);
  const int64_t small_work = work_of(small, InitialProgress(small));
  EXPECT_LT(rank(small, small_work), rank(large, large_work));
  // A large job that is nearly done goes before a small one.
  for (size_t i = 0; i < 37; ++i) {
    progress.occurrences[0].steps[0][i].phase = TaskPhase::kDone;
  }
  EXPECT_LT(rank(large, work_of(large, progress)), rank(small, small_work));
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

// Guards against a leader that can't store what it has learned, since each job
// names an image of its own.
TEST(DurationEstimatorTest, KeepsTheKindsThatWereUsedLast) {
  constexpr size_t kKinds = 5000;
  DurationEstimator estimator;
  Step step;
  for (size_t i = 0; i < kKinds; ++i) {
    step.image = std::string(100, 'x') + std::to_string(i);
    estimator.Observe("q", step, 1000);
  }
  const std::vector<LearnedDuration> durations = estimator.Durations();
  EXPECT_LE(durations.size(), 2000U);
  EXPECT_EQ(durations.front().kind, "image/" + step.image);
  constexpr size_t kMaxBytes = 100'000;
  const LearnedModel fitting = FitTo({{}, durations}, kMaxBytes);
  EXPECT_LE(Encode(fitting).size(), kMaxBytes);
  EXPECT_GT(fitting.durations.size(), 500U);
  EXPECT_EQ(fitting.durations.front(), durations.front());
  DurationEstimator next;
  next.ImportDurations(durations);
  EXPECT_EQ(next.Durations(), durations);
}

// Weights and durations share the space.
TEST(LearnedModelTest, KeepsAPartOfEither) {
  LearnedModel model;
  for (int i = 0; i < 1000; ++i) {
    model.weights.push_back({std::to_string(i), "filler", 1, 1});
    model.durations.push_back({std::to_string(i), 1000, 5});
  }
  const LearnedModel fitting = FitTo(model, 10'000);
  EXPECT_GT(fitting.weights.size(), 50U);
  EXPECT_GT(fitting.durations.size(), 50U);
  EXPECT_LE(Encode(fitting).size(), 10'000U);
  EXPECT_EQ(FitTo(model, 1'000'000), model);
}

TEST(WorkOrderTest, LongRunningWorkIsNeverPastItsCutoff) {
  Queue queue;
  Job long_running = JobOf(0, 0);
  long_running.steps[0].is_long_running = true;
  EXPECT_FALSE(RankOf(long_running, queue, 0, 0, 0, 0, 1000000).is_past_cutoff);
}

TEST(WorkOrderTest, OccurrencesAreDueOneAfterTheOther) {
  Job job = JobOf(500, 10);
  job.first_due_ms = 1000;
  job.interval_ms = 200;
  EXPECT_EQ(DueMs(job, 0), 1000);
  EXPECT_EQ(DueMs(job, 3), 1600);
}

// Guards against occurrences that start years before they are due, since their
// job has no start time: theirs count from 1970.
TEST(WorkOrderTest, WithoutAStartTimeOccurrencesAreDueFrom1970) {
  constexpr int64_t kDayMs = 86'400'000;
  constexpr int64_t kNowMs = 20'000 * kDayMs;
  Job job = JobOf(500, 10);
  job.interval_ms = kDayMs;
  job.accepted_ms = kNowMs;
  EXPECT_TRUE(IsDue(job, 0, kNowMs));
  EXPECT_TRUE(IsDue(job, 20'000, kNowMs));
  EXPECT_FALSE(IsDue(job, 20'001, kNowMs));
  job.interval_ms = 0;
  EXPECT_TRUE(IsDue(job, 4'294'967'295, kNowMs));
}

TEST(WorkOrderTest, OccurrencesInTheFarFutureAreNeverDue) {
  Job job = JobOf(500, 10);
  job.first_due_ms = 1000;
  job.interval_ms = int64_t{1} << 40;
  for (const uint32_t occurrence : {1U << 20, 1U << 24, 4'294'967'295U}) {
    EXPECT_FALSE(IsDue(job, occurrence, int64_t{1} << 53));
    EXPECT_GT(DueMs(job, occurrence), int64_t{1} << 53);
  }
}

// Guards against a schedule that is late as a whole since its job was accepted
// late: occurrences catch up.
TEST(WorkOrderTest, LateAcceptanceDelaysNoLaterOccurrence) {
  Job job = JobOf(500, 10);
  job.first_due_ms = 1000;
  job.interval_ms = 200;
  job.accepted_ms = 1500;
  EXPECT_EQ(DueMs(job, 0), 1000);
  EXPECT_EQ(DueMs(job, 3), 1600);
}

// Guards against occurrences that are taken for hopeless when their job is
// accepted, and against later ones that get more time than they are allowed.
TEST(WorkOrderTest, LateOccurrencesCountFromTheAcceptance) {
  constexpr int64_t kAcceptedMs = 100'000;
  Queue queue;
  queue.target_factor = 2;
  Job job = JobOf(500, 10);
  job.first_due_ms = 1000;
  job.interval_ms = 50'000;
  job.accepted_ms = kAcceptedMs;
  const WorkRank late = RankOf(job, queue, 0, 500, 500, 0, kAcceptedMs);
  EXPECT_FALSE(late.is_past_cutoff);
  EXPECT_EQ(late.target_ms, kAcceptedMs + 1000);
  EXPECT_EQ(late.cutoff_ms, kAcceptedMs + 3000);
  const WorkRank next = RankOf(job, queue, 2, 500, 500, 0, kAcceptedMs);
  EXPECT_EQ(next.target_ms, 101'000 + 1000);
}

}  // namespace
}  // namespace papayadrift::jobs
