#include "jobs/job.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "jobs/codec.h"

namespace papayadrift::jobs {
namespace {

TEST(TaskKeyTest, ReadsBackItsText) {
  const TaskKey task{JobId("5c0e7a21d94b36f8"), 3, 1, 17};
  EXPECT_EQ(ToText(task), "5c0e7a21d94b36f8.3.1.17");
  EXPECT_EQ(TaskKeyFromText(ToText(task)), task);
}

TEST(TaskKeyTest, RefusesMalformedText) {
  for (const char* text : {"", "a", "a.1.2", "a.1.2.x", "a.1.2.", ".1.2.3",
                           "a.1.2.-3", "a.1.2.99999999999"}) {
    EXPECT_FALSE(TaskKeyFromText(text)) << text;
  }
}

TEST(JobCodecTest, ReadsBackProgress) {
  const StoredOutcome outcome{JobOutcome::kFailed, 70'000};
  EXPECT_EQ(Decode<StoredOutcome>(Encode(outcome)), outcome);
  const TaskProgress task{TaskPhase::kClaimed, 4, 1, {"n", "i", -3}, "c"};
  EXPECT_EQ(Decode<TaskProgress>(Encode(task)), task);
}

TEST(JobCodecTest, ReadsBackOrders) {
  const TaskKey task{JobId("a"), 0, 1, 2};
  const OrderBatch batch{7,
                         {"node", "instance", 12},
                         {StartOrder{task, 1, "payload", "saved", "ticket"},
                          StopOrder{task, 1}, PaceOrder{task, 1, 40}}};
  EXPECT_EQ(Decode<OrderBatch>(Encode(batch)), batch);
}

RC_GTEST_PROP(JobCodecTest, RefusesTruncatedBytes, (uint32_t run)) {
  const TaskProgress task{TaskPhase::kClaimed, run, 1, {"n", "i", 1}, "c"};
  const std::string bytes = Encode(task);
  const auto size = *rc::gen::inRange<size_t>(0, bytes.size());
  RC_ASSERT(!Decode<TaskProgress>(bytes.substr(0, size)));
}

TEST(JobProgressTest, FindsOnlyTasksOfItsJob) {
  Job job;
  job.steps.resize(2);
  job.steps[1].count = 3;
  job.occurrences = 2;
  JobProgress progress = InitialProgress(job);
  const JobId id("a");
  EXPECT_EQ(FindTask(progress, {id, 1, 1, 2}),
            &progress.occurrences[1].steps[1][2]);
  EXPECT_EQ(FindTask(progress, {id, 2, 0, 0}), nullptr);
  EXPECT_EQ(FindTask(progress, {id, 0, 2, 0}), nullptr);
  EXPECT_EQ(FindTask(progress, {id, 0, 1, 3}), nullptr);
}

// The progress of a job takes no more memory the more often the job repeats.
TEST(JobProgressTest, KeepsABoundedNumberOfOccurrences) {
  Job job;
  job.steps.resize(1);
  for (const uint32_t count : {1U, 100U, 4096U, 65'536U}) {
    job.steps[0].count = count;
    for (const uint32_t occurrences : {1U, 2U, 70'000U, 4'294'967'295U}) {
      job.occurrences = occurrences;
      const uint32_t kept = MaxOccurrencesKept(job);
      EXPECT_GE(kept, std::min(occurrences, 2U));
      EXPECT_LE(uint64_t{kept} * count, 2 * kMaxTasksKept);
    }
  }
}

// The stored progress of a job of the earlier version is never dropped before
// the job ends, so that the earlier version can take over again.
TEST(JobProgressTest, KeepsAllOccurrencesOfJobsThatEarlierVersionsAccept) {
  Job job;
  job.steps.resize(2);
  job.steps[0].count = 3;
  job.occurrences = 65'536 / 4;
  EXPECT_EQ(MaxOccurrencesKept(job), job.occurrences);
  EXPECT_FALSE(HasMoreOccurrences(job, InitialProgress(job)));
  job.occurrences += 1;
  EXPECT_TRUE(HasMoreOccurrences(job, InitialProgress(job)));
}

TEST(JobProgressTest, DropsOccurrencesAndKeepsLaterOnes) {
  Job job;
  job.steps.resize(1);
  job.occurrences = 70'000;
  JobProgress progress = InitialProgress(job);
  const auto kept = static_cast<uint32_t>(progress.occurrences.size());
  const JobId id("a");
  FindTask(progress, {id, 12, 0, 0})->run = 7;
  DropOccurrences(job, 10, progress);
  EXPECT_EQ(progress.first_occurrence, 10U);
  EXPECT_EQ(progress.occurrences.size(), kept);
  EXPECT_EQ(FindTask(progress, {id, 9, 0, 0}), nullptr);
  EXPECT_EQ(FindTask(progress, {id, 12, 0, 0})->run, 7U);
  EXPECT_NE(FindTask(progress, {id, kept + 9, 0, 0}), nullptr);
  EXPECT_EQ(FindTask(progress, {id, kept + 10, 0, 0}), nullptr);
  DropOccurrences(job, 69'999, progress);
  EXPECT_EQ(progress.occurrences.size(), 1U);
  EXPECT_FALSE(HasMoreOccurrences(job, progress));
  DropOccurrences(job, 80'000, progress);
  EXPECT_TRUE(progress.occurrences.empty());
}

}  // namespace
}  // namespace papayadrift::jobs
