#include "jobs/directory.h"

#include <gtest/gtest.h>

namespace papayadrift::jobs {
namespace {

const JobId kId("a");

Job JobOfQueue(const char* queue) {
  Job job;
  job.queue = queue;
  job.steps.resize(1);
  return job;
}

TEST(DirectoryTest, KnowsAJobOnlyForItsQueue) {
  Directory directory;
  directory.OnJob(kId, JobOfQueue("q"));
  EXPECT_EQ(directory.StateOf("q", kId), JobState::kQueued);
  EXPECT_EQ(directory.StateOf("other", kId), std::nullopt);
}

TEST(DirectoryTest, ProgressMayComeBeforeTheJob) {
  Directory directory;
  directory.OnOutcome(kId, {JobOutcome::kCompleted});
  EXPECT_EQ(directory.StateOf("q", kId), std::nullopt);
  directory.OnJob(kId, JobOfQueue("q"));
  EXPECT_EQ(directory.StateOf("q", kId), JobState::kCompleted);
}

TEST(DirectoryTest, CancelledUntilTheOutcomeIsKnown) {
  Directory directory;
  directory.OnJob(kId, JobOfQueue("q"));
  directory.OnCancelled(kId);
  EXPECT_EQ(directory.StateOf("q", kId), JobState::kCancelled);
  EXPECT_EQ(directory.CountQueued("q"), 0U);
}

// A reader of the newest of each key meets cancellations before jobs.
TEST(DirectoryTest, CancellationMayComeBeforeTheJob) {
  Directory directory;
  directory.OnCancelled(kId);
  EXPECT_EQ(directory.StateOf("q", kId), std::nullopt);
  directory.OnJob(kId, JobOfQueue("q"));
  EXPECT_EQ(directory.StateOf("q", kId), JobState::kCancelled);
  EXPECT_EQ(directory.CountQueued("q"), 0U);
}

TEST(DirectoryTest, CountsJobsThatHaveNotBegun) {
  Directory directory;
  directory.OnJob(kId, JobOfQueue("q"));
  directory.OnJob(JobId("b"), JobOfQueue("q"));
  directory.OnStarted(kId);
  EXPECT_EQ(directory.StateOf("q", kId), JobState::kRunning);
  EXPECT_EQ(directory.CountQueued("q"), 1U);
}

}  // namespace
}  // namespace papayadrift::jobs
