#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <vector>

#include "fake_site.h"

namespace papayadrift::routing {
namespace {

constexpr milliseconds kServiceTime(100);
constexpr milliseconds kAllowed(300);
constexpr seconds kSettled(5);
constexpr double kSaturating = 1.2;  // Times what the slots can do.
// From the issue: goodput under overload, of that at saturation.
constexpr double kLeastGoodput = 0.95;

using Broken = std::vector<std::string>;

int GoodAnswers(const FakeSite& site) {
  int answered = 0;
  for (const auto& entry : site.entries) {
    answered += static_cast<int>(
        std::ranges::count_if(entry->endings(), [](const auto& it) {
          return it.second.response && it.second.response->status == 200;
        }));
  }
  return answered;
}

// Runners that stop work at its deadline, as they are told to: a request that
// was sent too late takes a slot until then, and is answered with a failure.
class StrictSite : public FakeSite {
 public:
  static constexpr double kSlotsOfAll = kRunnerCount * kSlots;

  StrictSite() : FakeSite(kEntries, RoutingSettings(), 7) {
    runners.SetKeepsDeadlines(true);
    for (int it = 0; it < kRunnerCount; ++it) {
      runners.runner(kChecks + "-" + std::to_string(it)).mean_microseconds =
          static_cast<double>(microseconds(kServiceTime).count());
    }
  }

 private:
  static constexpr int kEntries = 2;
};

class StrictRunnerTest : public testing::TestWithParam<double> {};

TEST_P(StrictRunnerTest, EvenLoadKeepsTheSlotsUseful) {
  constexpr seconds kLength(10);
  constexpr double kMost = StrictSite::kSlotsOfAll * (kLength / kServiceTime);
  StrictSite site;
  site.Burst(kChecks, GetParam() * kMost / kLength.count(), kLength, kAllowed);
  site.RunFor(kLength + kSettled);
  EXPECT_EQ(site.Audit(), Broken());
  EXPECT_GE(GoodAnswers(site), kLeastGoodput * kMost);
}

// Returns the answers to callers who all come at once, and again each time
// their deadline has passed.
int AnswersToWaves(double requests) {
  StrictSite site;
  constexpr int kWaves = 30;
  for (int wave = 0; wave < kWaves; ++wave) {
    site.Burst(kChecks, requests * 1'000, milliseconds(1), kAllowed);
    site.RunFor(kAllowed);
  }
  site.RunFor(kSettled);
  EXPECT_EQ(site.Audit(), Broken());
  return GoodAnswers(site);
}

TEST_P(StrictRunnerTest, LargerWavesGetNoFewerAnswers) {
  constexpr double kMost = StrictSite::kSlotsOfAll * (kAllowed / kServiceTime);
  EXPECT_GE(AnswersToWaves(GetParam() * kMost),
            kLeastGoodput * AnswersToWaves(kSaturating * kMost));
}

INSTANTIATE_TEST_SUITE_P(All,
                         StrictRunnerTest,
                         testing::Values(kSaturating, 2, 10));

// The load of docs/journal/2026-12-04-cold-overload.md: few slots, and callers
// who ask again as soon as they are told, whatever they are told.
TEST(CallersTest, ReturningAtOnceDoesNotStarveThem) {
  constexpr int kCallers = 24;
  constexpr int kRunners = 2;
  constexpr int kSlotsEach = 2;
  constexpr seconds kLength(10);
  constexpr milliseconds kPause(10);
  FakeSite site(1, RoutingSettings(), 7);
  site.runners.SetKeepsDeadlines(true);
  ServiceRoute route = FakeService(kChecks, kSlotsEach);
  route.runners.resize(kRunners);
  for (const RunnerRoute& it : route.runners) {
    FakeRunner& runner = site.runners.runner(it.address);
    runner.mean_microseconds =
        static_cast<double>(microseconds(kServiceTime).count());
    runner.sigma = 0.1;
    runner.slots = kSlotsEach;
  }
  FakeEntry& entry = *site.entries[0];
  entry.Publish({route});
  uint64_t arrived = 0;
  const auto arrive = [&] {
    entry.Arrive("customer", kChecks, kAllowed);
    return RequestId(++arrived);
  };
  std::vector<RequestId> callers;
  std::generate_n(std::back_inserter(callers), kCallers, arrive);
  const Instant end = site.timeline.now() + kLength;
  while (site.timeline.now() < end) {
    site.RunFor(milliseconds(1));
    for (RequestId& it : callers) {
      const FakeEnding& ending = entry.endings().at(it);
      if (ending.finals > 0 &&
          ending.ended_at + kPause <= site.timeline.now()) {
        it = arrive();
      }
    }
  }
  site.RunFor(kSettled);
  constexpr auto kMost = kRunners * kSlotsEach * (kLength / kServiceTime);
  EXPECT_EQ(site.Audit(), Broken());
  EXPECT_GE(GoodAnswers(site), kLeastGoodput * static_cast<double>(kMost));
}

}  // namespace
}  // namespace papayadrift::routing
