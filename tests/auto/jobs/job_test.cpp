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
  const StoredOutcome outcome{JobOutcome::kFailed};
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

}  // namespace
}  // namespace papayadrift::jobs
