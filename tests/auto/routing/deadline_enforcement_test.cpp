#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <vector>

#include "fake_cluster.h"

namespace papayadrift::routing {
namespace {

constexpr milliseconds kServiceTime(100);
constexpr milliseconds kTimeAllowed(300);
constexpr seconds kSettleTime(5);
constexpr double kSaturating = 1.2;  // Multiple of the capacity of the slots.
// Required goodput under overload, relative to that at saturation.
constexpr double kMinimumGoodput = 0.95;

using Violations = std::vector<std::string>;

int GoodAnswers(const FakeCluster& cluster) {
  int answered = 0;
  for (const auto& entry : cluster.entries) {
    answered += static_cast<int>(
        std::ranges::count_if(entry->outcomes(), [](const auto& it) {
          return it.second.response && it.second.response->status == 200;
        }));
  }
  return answered;
}

// Runners that stop processing a request at its deadline, as required: a
// request that is sent too late occupies a slot until then and fails.
class DeadlineEnforcingCluster : public FakeCluster {
 public:
  static constexpr double kSlotsOfAll = kRunnerCount * kSlots;

  DeadlineEnforcingCluster() : FakeCluster(kEntries, RoutingSettings(), 7) {
    runners.SetEnforcesDeadlines(true);
    for (int it = 0; it < kRunnerCount; ++it) {
      runners.runner(kChecks + "-" + std::to_string(it)).mean_microseconds =
          static_cast<double>(microseconds(kServiceTime).count());
    }
  }

 private:
  static constexpr int kEntries = 2;
};

class DeadlineEnforcementTest : public testing::TestWithParam<double> {};

TEST_P(DeadlineEnforcementTest, EvenLoadKeepsTheSlotsUseful) {
  constexpr seconds kLength(10);
  constexpr double kMaximumAnswers =
      DeadlineEnforcingCluster::kSlotsOfAll * (kLength / kServiceTime);
  DeadlineEnforcingCluster cluster;
  cluster.ScheduleArrivals(kChecks,
                           GetParam() * kMaximumAnswers / kLength.count(),
                           kLength, kTimeAllowed);
  cluster.RunFor(kLength + kSettleTime);
  EXPECT_EQ(cluster.FindViolations(), Violations());
  EXPECT_GE(GoodAnswers(cluster), kMinimumGoodput * kMaximumAnswers);
}

// Returns the number of answers when all callers send at the same time, and
// again each time their deadline has passed.
int CountAnswersToBursts(double requests) {
  DeadlineEnforcingCluster cluster;
  constexpr int kBursts = 30;
  for (int burst = 0; burst < kBursts; ++burst) {
    cluster.ScheduleArrivals(kChecks, requests * 1'000, milliseconds(1),
                             kTimeAllowed);
    cluster.RunFor(kTimeAllowed);
  }
  cluster.RunFor(kSettleTime);
  EXPECT_EQ(cluster.FindViolations(), Violations());
  return GoodAnswers(cluster);
}

TEST_P(DeadlineEnforcementTest, LargerBurstsGetNoFewerAnswers) {
  constexpr double kMaximumAnswers =
      DeadlineEnforcingCluster::kSlotsOfAll * (kTimeAllowed / kServiceTime);
  EXPECT_GE(
      CountAnswersToBursts(GetParam() * kMaximumAnswers),
      kMinimumGoodput * CountAnswersToBursts(kSaturating * kMaximumAnswers));
}

INSTANTIATE_TEST_SUITE_P(All,
                         DeadlineEnforcementTest,
                         testing::Values(kSaturating, 2, 10));

// Reproduces the load of docs/journal/2026-12-04-cold-overload.md: few slots,
// and callers that retry immediately after each outcome.
TEST(ImmediateRetryTest, DoesNotStarveCallers) {
  constexpr int kCallers = 24;
  constexpr int kRunners = 2;
  constexpr int kSlotsEach = 2;
  constexpr seconds kLength(10);
  constexpr milliseconds kPause(10);
  FakeCluster cluster(1, RoutingSettings(), 7);
  cluster.runners.SetEnforcesDeadlines(true);
  ServiceRoute route = FakeService(kChecks, kSlotsEach);
  route.runners.resize(kRunners);
  for (const RunnerRoute& it : route.runners) {
    FakeRunner& runner = cluster.runners.runner(it.address);
    runner.mean_microseconds =
        static_cast<double>(microseconds(kServiceTime).count());
    runner.sigma = 0.1;
    runner.slots = kSlotsEach;
  }
  FakeEntry& entry = *cluster.entries[0];
  entry.Publish({route});
  uint64_t arrived = 0;
  const auto arrive = [&] {
    entry.Arrive("customer", kChecks, kTimeAllowed);
    return RequestId(++arrived);
  };
  std::vector<RequestId> callers;
  std::generate_n(std::back_inserter(callers), kCallers, arrive);
  const Instant end = cluster.clock.now() + kLength;
  while (cluster.clock.now() < end) {
    cluster.RunFor(milliseconds(1));
    for (RequestId& it : callers) {
      const RequestOutcome& outcome = entry.outcomes().at(it);
      if (outcome.final_actions > 0 &&
          outcome.ended_at + kPause <= cluster.clock.now()) {
        it = arrive();
      }
    }
  }
  cluster.RunFor(kSettleTime);
  constexpr auto kMaximumAnswers =
      kRunners * kSlotsEach * (kLength / kServiceTime);
  EXPECT_EQ(cluster.FindViolations(), Violations());
  EXPECT_GE(GoodAnswers(cluster),
            kMinimumGoodput * static_cast<double>(kMaximumAnswers));
}

}  // namespace
}  // namespace papayadrift::routing
