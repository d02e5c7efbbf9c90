#include <gtest/gtest.h>

#include <vector>

#include "fixture.h"

namespace papayadrift::placement {

namespace {

constexpr Resources kWorker = {8000, 8192, 0};
constexpr Resources kTask = {3000, 1024, 0};
// One every 10 s; the budget allows one eviction per hour.
constexpr int kReports = 500;

// A worker with a service above its target and a batch task next to it.
class OverloadedService {
 public:
  explicit OverloadedService(bool is_checkpointable) {
    fixture_.AddWorker("hot", kWorker);
    JobSubmitted job = SomeJob("job", 1, kTask);
    job.is_checkpointable = is_checkpointable;
    const auto claims = Only<Claim>(fixture_.Submit(job));
    claim = claims.at(0);
    fixture_.Start(claim);
  }

  // Reports a latency above the target, even after throttling, until a task is
  // evicted.
  std::vector<Evict> ReportUntilStopped() {
    std::vector<Evict> stops;
    for (int i = 0; i < kReports && stops.empty(); ++i) {
      fixture_.Pass(seconds(10));
      fixture_.Handle(LatencyReported{
          WorkerId("calm"), ServiceId("service"), milliseconds(1),
          milliseconds(5), 100, fixture_.now() - seconds(10), fixture_.now()});
      const auto actions = fixture_.Handle(LatencyReported{
          WorkerId("hot"), ServiceId("service"), milliseconds(20),
          milliseconds(throttles == 0 ? 60 : 40), 1000,
          fixture_.now() - seconds(10), fixture_.now()});
      for (const ChangeGrant& it : Only<ChangeGrant>(actions)) {
        ++throttles;
        fixture_.Handle(GrantConfirmed{it.task, it.attempt, it.grant});
      }
      stops = Only<Evict>(actions);
    }
    return stops;
  }

  Fixture& fixture() { return fixture_; }

  Claim claim;
  int throttles = 0;

 private:
  Fixture fixture_;
};

TEST(MitigationTest, TaskIsThrottledFirstThenMovedToABetterPlace) {
  OverloadedService overloaded(true);
  Fixture& fixture = overloaded.fixture();
  fixture.AddWorker("calm", kWorker);
  const auto stops = overloaded.ReportUntilStopped();
  ASSERT_EQ(stops.size(), 1U);
  EXPECT_EQ(overloaded.throttles, 1);
  EXPECT_EQ(fixture.scheduler().counters().moves, 1U);
  EXPECT_EQ(ToText(fixture.scheduler().Explain(stops[0].task)),
            "It was stopped on worker hot because a service there was "
            "above its latency target; 0 s of its work are repeated. "
            "Capacity is reserved for it on worker calm.");
  EXPECT_EQ(fixture.scheduler().View(WorkerId("calm"))->held.millicores, 3000);
  const auto next = Only<Claim>(fixture.Handle(
      TaskEnded{stops[0].task, stops[0].attempt,
                records::TaskEnding::kCheckpointed, CheckpointId("c")}));
  ASSERT_EQ(next.size(), 1U);
  EXPECT_EQ(next[0].worker, WorkerId("calm"));
  EXPECT_EQ(next[0].resumes, CheckpointId("c"));
  EXPECT_EQ(next[0].reason, PlacementReason::kMoved);
  EXPECT_EQ(fixture.scheduler().View(WorkerId("calm"))->held, Resources());
}

TEST(MitigationTest, WithoutABetterPlaceItIsEvicted) {
  OverloadedService overloaded(true);
  const auto stops = overloaded.ReportUntilStopped();
  ASSERT_EQ(stops.size(), 1U);
  EXPECT_EQ(overloaded.fixture().scheduler().counters().moves, 0U);
  EXPECT_EQ(overloaded.fixture().scheduler().counters().evictions_for_services,
            1U);
}

TEST(MitigationTest, TaskThatWouldLoseItsWorkIsNotMoved) {
  OverloadedService overloaded(false);
  overloaded.fixture().AddWorker("calm", kWorker);
  ASSERT_EQ(overloaded.ReportUntilStopped().size(), 1U);
  EXPECT_EQ(overloaded.fixture().scheduler().counters().moves, 0U);
}

TEST(MitigationTest, OperatorsLimitOnEvictionsHolds) {
  OverloadedService overloaded(true);
  Policy policy = {
      {},
      {{ServiceId("service"), CustomerId("customer"), milliseconds(20)}},
      {{CustomerId("customer"), 4.0, 1.0}}};
  policy.limits.evictions_per_hour = 0;
  overloaded.fixture().Handle(PolicyChanged{policy});
  EXPECT_TRUE(overloaded.ReportUntilStopped().empty());
  EXPECT_EQ(overloaded.throttles, 1);
}

TEST(MitigationTest, HoldIsReleasedWhenTheTaskFinishes) {
  OverloadedService overloaded(true);
  Fixture& fixture = overloaded.fixture();
  fixture.AddWorker("calm", kWorker);
  const auto stops = overloaded.ReportUntilStopped();
  ASSERT_EQ(stops.size(), 1U);
  fixture.Handle(TaskEnded{
      stops[0].task, stops[0].attempt, records::TaskEnding::kFinished, {}});
  EXPECT_EQ(fixture.scheduler().View(WorkerId("calm"))->held, Resources());
}

}  // namespace

}  // namespace papayadrift::placement
