#include <gtest/gtest.h>

#include "fixture.h"

namespace papayadrift::placement {

namespace {

constexpr Resources kWorker = {8000, 8192, 0};
constexpr Resources kSmall = {2000, 1024, 0};

TEST(SchedulerTest, ClaimsNoMoreThanFits) {
  Fixture fixture;
  fixture.AddWorker("a", kWorker, {3000, 1024, 0});
  const auto claims = Only<Claim>(fixture.Submit(SomeJob("job", 9, kSmall)));
  ASSERT_EQ(claims.size(), 2U);
  EXPECT_EQ(claims[0].attempt, Attempt(1));
  EXPECT_EQ(fixture.scheduler().View(WorkerId("a"))->committed,
            (Resources{4000, 2048, 0}));
}

TEST(SchedulerTest, ClaimsAgainAfterRejectionWithTheSameAttempt) {
  Fixture fixture;
  fixture.AddWorker("a", kWorker);
  const auto first = Only<Claim>(fixture.Submit(SomeJob("job", 1, kSmall)));
  fixture.Handle(
      ClaimRejected{first[0].task, first[0].attempt, ClaimRejection::kExpired});
  const auto second = Only<Claim>(fixture.Pass(seconds(2)));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(second[0].attempt, first[0].attempt);
}

TEST(SchedulerTest, ResumesFromTheCheckpoint) {
  Fixture fixture;
  fixture.AddWorker("a", kWorker);
  const auto first = Only<Claim>(fixture.Submit(SomeJob("job", 1, kSmall)));
  fixture.Start(first[0]);
  const auto second = Only<Claim>(fixture.Handle(
      TaskEnded{first[0].task, first[0].attempt,
                records::TaskEnding::kCheckpointed, CheckpointId("c")}));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(second[0].attempt, Attempt(2));
  EXPECT_EQ(second[0].resumes, CheckpointId("c"));
}

TEST(SchedulerTest, CancelledJobIsNeverClaimedAgain) {
  Fixture fixture;
  fixture.AddWorker("a", kWorker);
  const auto job = SomeJob("job", 9, kSmall);
  const auto claims = Only<Claim>(fixture.Submit(job));
  fixture.Start(claims[0]);
  const auto stops = Only<Evict>(fixture.Handle(JobCancelled{job.job}));
  EXPECT_EQ(stops.size(), claims.size());
  for (const Claim& claim : claims) {
    EXPECT_TRUE(
        Only<Claim>(
            fixture.Handle(TaskEnded{
                claim.task, claim.attempt, records::TaskEnding::kStopped, {}}))
            .empty());
  }
  EXPECT_TRUE(Only<Claim>(fixture.Submit(job)).empty());
  EXPECT_EQ(fixture.scheduler().jobs(), 0U);
}

TEST(SchedulerTest, JobThatFitsNowhereIsRefused) {
  Fixture fixture;
  fixture.AddWorker("a", kWorker);
  fixture.Submit(SomeJob("job", 1, {1000, 999'999, 0}));
  const auto refusals = Only<RefuseJob>(fixture.Pass(seconds(61)));
  ASSERT_EQ(refusals.size(), 1U);
  EXPECT_EQ(refusals[0].reason, RefusalReason::kJobFitsNowhere);
}

TEST(SchedulerTest, LoweredGrantFreesRoomOnlyOnceConfirmed) {
  Fixture fixture;
  fixture.AddWorker("a", {8000, 8192, 0});
  const auto job = SomeJob("job", 1, {4000, 1024, 0});
  const auto claims = Only<Claim>(fixture.Submit(job));
  fixture.Start(claims[0]);
  std::vector<ChangeGrant> changes;
  for (int i = 0; i < 30 && changes.empty(); ++i) {
    fixture.Pass(seconds(10));
    changes = Only<ChangeGrant>(fixture.Handle(UsageReported{
        claims[0].task, claims[0].attempt, {500, 100, 0}, i, fixture.now()}));
  }
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_LT(changes[0].grant.millicores, 4000);
  const auto committed = [&] {
    return fixture.scheduler().View(WorkerId("a"))->committed;
  };
  EXPECT_EQ(committed().millicores, 4000);
  fixture.Handle(
      GrantConfirmed{changes[0].task, changes[0].attempt, changes[0].grant});
  EXPECT_EQ(committed(), changes[0].grant);
}

TEST(SchedulerTest, CountsGrantsThatAnotherSchedulerChanged) {
  Fixture fixture;
  fixture.AddWorker("a", kWorker);
  const auto claims =
      Only<Claim>(fixture.Submit(SomeJob("job", 1, {4000, 1024, 0})));
  fixture.Start(claims[0]);
  const auto committed = [&] {
    return fixture.scheduler().View(WorkerId("a"))->committed;
  };
  fixture.Handle(
      GrantRecorded{claims[0].task, claims[0].attempt, {7000, 2048, 0}});
  EXPECT_EQ(committed(), (Resources{7000, 2048, 0}));
  EXPECT_TRUE(
      Only<Claim>(fixture.Submit(SomeJob("next", 1, {2000, 1024, 0}))).empty());
  fixture.Handle(
      GrantRecorded{claims[0].task, claims[0].attempt, {1000, 512, 0}});
  EXPECT_EQ(Only<Claim>(fixture.Pass(seconds(1))).size(), 1U);
}

TEST(SchedulerTest, EveryTaskHasAReason) {
  Fixture fixture;
  fixture.AddWorker("a", kWorker);
  const auto job = SomeJob("job", 9, kSmall);
  const auto claims = Only<Claim>(fixture.Submit(job));
  EXPECT_TRUE(std::holds_alternative<Placed>(
      fixture.scheduler().Explain(claims[0].task)));
  const Decision last = fixture.scheduler().Explain({job.job, 8});
  EXPECT_EQ(ToText(last),
            "It waits because no examined worker has enough free capacity.");
}

}  // namespace

}  // namespace papayadrift::placement
