#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <vector>

#include "fixture.h"

namespace papayadrift::placement {

namespace {

constexpr Resources kWorker = {8000, 8192, 0};
constexpr Resources kSmall = {1000, 1024, 0};

// Two racks of two workers in each of two availability zones.
void AddRacks(Fixture& fixture) {
  for (int i = 0; i < 8; ++i) {
    fixture.Handle(WorkerUp{.worker = WorkerId("w" + std::to_string(i)),
                            .incarnation = Incarnation(1),
                            .zone = ZoneId("zone-" + std::to_string(i / 4)),
                            .rack = RackId("rack-" + std::to_string(i / 2 % 2)),
                            .capacity = kWorker,
                            .runners = {}});
  }
}

std::vector<Claim> ClaimsOf(Fixture& fixture, const JobSubmitted& job) {
  std::vector<Claim> claims = Only<Claim>(fixture.Submit(job));
  for (int i = 0; i < 5; ++i) {
    std::ranges::copy(Only<Claim>(fixture.Pass(seconds(1))),
                      std::back_inserter(claims));
  }
  return claims;
}

std::string WhyNotYet(const Fixture& fixture, const JobSubmitted& job) {
  return ToText(fixture.scheduler().Explain({job.job, job.tasks - 1}));
}

TEST(SeparationTest, TasksSpreadOverRacks) {
  Fixture fixture;
  AddRacks(fixture);
  JobSubmitted job = SomeJob("job", 9, kSmall);
  job.separation.most_per_rack = 1;
  const auto claims = ClaimsOf(fixture, job);
  std::set<int> racks;
  for (const Claim& claim : claims) {
    racks.insert((claim.worker.text().back() - '0') / 2);
  }
  EXPECT_EQ(claims.size(), 4U);
  EXPECT_EQ(racks.size(), 4U);
  EXPECT_EQ(WhyNotYet(fixture, job),
            "It waits because all racks or availability zones with free "
            "capacity have reached the task limit of its job.");
  fixture.Start(claims[0]);
  const auto next = Only<Claim>(fixture.Handle(TaskEnded{
      claims[0].task, claims[0].attempt, records::TaskEnding::kFinished, {}}));
  ASSERT_EQ(next.size(), 1U);
  EXPECT_EQ((next[0].worker.text().back() - '0') / 2,
            (claims[0].worker.text().back() - '0') / 2);
}

TEST(SeparationTest, BothLimitsHoldAtOnce) {
  Fixture fixture;
  AddRacks(fixture);
  JobSubmitted job = SomeJob("job", 20, kSmall);
  job.separation.most_per_rack = 2;
  job.separation.most_per_zone = 3;
  EXPECT_EQ(ClaimsOf(fixture, job).size(), 6U);
}

TEST(SeparationTest, KindsStayApartWhicheverCameFirst) {
  Fixture fixture;
  fixture.AddWorker("a", kWorker);
  JobSubmitted shy = SomeJob("shy", 1, kSmall);
  shy.kind = KindId("shy");
  shy.separation.apart_from = {KindId("kind")};
  const auto first = ClaimsOf(fixture, shy);
  ASSERT_EQ(first.size(), 1U);
  const JobSubmitted other = SomeJob("other", 1, kSmall);
  EXPECT_TRUE(ClaimsOf(fixture, other).empty());
  EXPECT_EQ(WhyNotYet(fixture, other),
            "It waits because all workers with free capacity run kinds of "
            "tasks that it must not share a worker with.");
  fixture.Start(first[0]);
  fixture.Handle(TaskEnded{
      first[0].task, first[0].attempt, records::TaskEnding::kFinished, {}});
  EXPECT_EQ(Only<Claim>(fixture.Pass(seconds(1))).size(), 1U);
  shy.job = JobId("shy-again");
  EXPECT_TRUE(ClaimsOf(fixture, shy).empty());
}

TEST(SeparationTest, OwnKindTakesOneTaskOfAWorker) {
  Fixture fixture;
  AddRacks(fixture);
  JobSubmitted job = SomeJob("job", 20, kSmall);
  job.separation.apart_from = {job.kind};
  EXPECT_EQ(ClaimsOf(fixture, job).size(), 8U);
}

// Racks of one worker each, all but one excluded by the job's rules. Returns
// the number of tries until its last task is claimed.
uint64_t TriesForTheLastRack(uint64_t seed,
                             uint32_t racks,
                             const Separation& separation) {
  constexpr uint64_t kLooksPerTry = 64;
  Fixture fixture({.seed = seed});
  for (uint32_t i = 0; i < racks; ++i) {
    fixture.Handle(WorkerUp{.worker = WorkerId("w" + std::to_string(i)),
                            .incarnation = Incarnation(1),
                            .zone = ZoneId("zone"),
                            .rack = RackId("rack-" + std::to_string(i)),
                            .capacity = kWorker,
                            .runners = {}});
  }
  JobSubmitted job = SomeJob("job", racks, kSmall);
  job.separation = separation;
  fixture.Handle(job);
  for (uint32_t i = 0; i + 1 < racks; ++i) {
    fixture.Handle(ClaimAccepted{{job.job, i},
                                 Attempt(1),
                                 WorkerId("w" + std::to_string(i)),
                                 Incarnation(1),
                                 kSmall});
  }
  const Counters& counters = fixture.scheduler().counters();
  const Counters before = counters;
  while (Only<Claim>(fixture.Pass(seconds(1))).empty() &&
         counters.tries - before.tries < racks) {
  }
  const uint64_t tries = counters.tries - before.tries;
  EXPECT_LE(counters.places_examined - before.places_examined,
            kLooksPerTry * tries);
  return tries;
}

TEST(SeparationTest, TheOnlyRackWithRoomIsFoundWithBoundedWork) {
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    EXPECT_LE(TriesForTheLastRack(seed, 150, {.most_per_rack = 1}), 3U);
    EXPECT_LE(TriesForTheLastRack(seed, 150, {.apart_from = {KindId("kind")}}),
              3U);
  }
}

TEST(SeparationTest, UrgentTaskEvictsNothingOnForbiddenWorkers) {
  Fixture fixture;
  fixture.AddWorker("a", kWorker);
  for (const Claim& it : ClaimsOf(fixture, SomeJob("full", 8, kSmall))) {
    fixture.Start(it);
  }
  JobSubmitted urgent = SomeJob("urgent", 1, kSmall);
  urgent.kind = KindId("urgent");
  urgent.is_urgent = true;
  urgent.team = TeamId("other");
  urgent.separation.apart_from = {KindId("kind")};
  const auto actions = fixture.Submit(urgent);
  EXPECT_TRUE(Only<Evict>(actions).empty());
  EXPECT_TRUE(Only<ChangeGrant>(actions).empty());
}

}  // namespace

}  // namespace papayadrift::placement
