#include <gtest/gtest.h>

#include <algorithm>

#include "fixture.h"

namespace papayadrift::placement {

namespace {

constexpr Resources kWorker = {8000, 8192, 0};
constexpr Resources kSmall = {1000, 1024, 0};

JobSubmitted OtherTeams(JobSubmitted job) {
  job.team = TeamId("other");
  return job;
}

TEST(TeamsTest, TeamWithinItsQuotaGoesBeforeABorrower) {
  Fixture fixture;
  fixture.Submit(SomeJob("large", 40, kSmall));
  fixture.Submit(OtherTeams(SomeJob("small", 4, kSmall)));
  fixture.AddWorker("a", kWorker);
  fixture.AddWorker("b", kWorker);
  fixture.Pass(seconds(1));
  fixture.Pass(seconds(1));
  const auto teams = fixture.scheduler().teams();
  const auto other = std::ranges::find(teams, TeamId("other"), &TeamView::team);
  EXPECT_EQ(other->used.millicores, 4000);
}

TEST(TeamsTest, OwedCapacityIsReclaimedFromBorrowers) {
  Fixture fixture;
  fixture.AddWorker("a", kWorker);
  fixture.AddWorker("b", kWorker);
  std::vector<Claim> claims;
  const auto gather = [&](const std::vector<Action>& actions) {
    for (const Claim& claim : Only<Claim>(actions)) {
      fixture.Start(claim);
      claims.push_back(claim);
    }
  };
  gather(fixture.Submit(SomeJob("large", 40, kSmall)));
  for (int i = 0; i < 5; ++i) {
    gather(fixture.Pass(seconds(1)));
  }
  ASSERT_EQ(claims.size(), 16U);
  fixture.Submit(OtherTeams(SomeJob("small", 1, kSmall)));
  EXPECT_TRUE(Only<Evict>(fixture.Pass(seconds(1))).empty());
  const auto evictions = Only<Evict>(fixture.Pass(seconds(21)));
  ASSERT_EQ(evictions.size(), 1U);
  EXPECT_EQ(evictions[0].reason, EvictionReason::kQuotaReclaimed);
  const auto next = Only<Claim>(
      fixture.Handle(TaskEnded{evictions[0].task, evictions[0].attempt,
                               records::TaskEnding::kStopped, CheckpointId()}));
  ASSERT_FALSE(next.empty());
  EXPECT_EQ(next[0].task.job, JobId("small"));
}

TEST(TeamsTest, UrgentWorkThrottlesOthersAndStartsOnceConfirmed) {
  Fixture fixture;
  fixture.AddWorker("a", kWorker);
  const auto claims = Only<Claim>(
      fixture.Submit(OtherTeams(SomeJob("large", 4, {2000, 1024, 0}))));
  ASSERT_EQ(claims.size(), 4U);
  std::ranges::for_each(claims, [&](const auto& it) { fixture.Start(it); });
  JobSubmitted urgent = SomeJob("urgent", 1, kSmall);
  urgent.is_urgent = true;
  const auto changes = Only<ChangeGrant>(fixture.Submit(urgent));
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].reason, GrantReason::kUrgentWork);
  EXPECT_EQ(changes[0].grant.millicores, 1000);
  const auto started = Only<Claim>(fixture.Handle(
      GrantConfirmed{changes[0].task, changes[0].attempt, changes[0].grant}));
  ASSERT_EQ(started.size(), 1U);
  EXPECT_EQ(started[0].reason, PlacementReason::kUrgent);
}

TEST(TeamsTest, RegionCutOffKeepsToItsQuotas) {
  Fixture fixture;
  fixture.AddWorker("a", kWorker);
  fixture.AddWorker("b", kWorker);
  fixture.Handle(RegionCutOff());
  const auto first = Only<Claim>(fixture.Submit(SomeJob("job", 16, kSmall)));
  EXPECT_EQ(first.size(), 8U);
  EXPECT_EQ(ToText(fixture.scheduler().Explain({JobId("job"), 15})),
            "It waits because its team has used up its quota.");
  fixture.Handle(RegionRejoined());
  EXPECT_FALSE(Only<Claim>(fixture.Pass(seconds(1))).empty());
}

}  // namespace

}  // namespace papayadrift::placement
