#include "jobs/job_tally.h"

#include <gtest/gtest.h>

namespace papayadrift::jobs {
namespace {

// Two tasks, and after them a gang of two.
Job TwoSteps() {
  Job job;
  job.steps.resize(2);
  job.steps[0].count = 2;
  job.steps[1].count = 2;
  job.steps[1].is_gang = true;
  job.steps[1].depends_on = {0};
  return job;
}

TEST(JobTallyTest, OnlyTheFirstStepMayStartAtFirst) {
  const Job job = TwoSteps();
  const JobTally tally = TallyOf(job, InitialProgress(job));
  EXPECT_TRUE(tally.may_start);
  EXPECT_EQ(tally.occurrences[0],
            (OccurrenceTally{{2, 2, false, true}, {2, 2, false, false}}));
}

TEST(JobTallyTest, AStepWaitsForAllTasksBeforeIt) {
  const Job job = TwoSteps();
  JobProgress progress = InitialProgress(job);
  auto& steps = progress.occurrences[0].steps;
  steps[0][0].phase = TaskPhase::kDone;
  steps[0][1].phase = TaskPhase::kClaimed;
  EXPECT_FALSE(TallyOf(job, progress).may_start);
  steps[0][1].phase = TaskPhase::kDone;
  EXPECT_EQ(TallyOf(job, progress).occurrences[0],
            (OccurrenceTally{{0, 0, false, false}, {2, 2, false, true}}));
}

TEST(JobTallyTest, AGangMayStartOnlyAsAWhole) {
  const Job job = TwoSteps();
  JobProgress progress = InitialProgress(job);
  auto& steps = progress.occurrences[0].steps;
  steps[0][0].phase = TaskPhase::kDone;
  steps[0][1].phase = TaskPhase::kDone;
  steps[1][0].phase = TaskPhase::kClaimed;
  EXPECT_FALSE(TallyOf(job, progress).may_start);
}

TEST(JobTallyTest, OccurrencesAreCountedEachOnTheirOwn) {
  Job job = TwoSteps();
  job.occurrences = 2;
  JobProgress progress = InitialProgress(job);
  progress.occurrences[0].steps[0][0].phase = TaskPhase::kDone;
  progress.occurrences[1].steps[0][1].crashes = 1;
  const JobTally tally = TallyOf(job, progress);
  EXPECT_EQ(tally.occurrences[0][0], (StepTally{1, 1, false, true}));
  EXPECT_EQ(tally.occurrences[1][0], (StepTally{2, 2, true, true}));
}

}  // namespace
}  // namespace papayadrift::jobs
