#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

#include "fixture.h"
#include "placement/linear_belief.h"

namespace papayadrift::placement {

namespace {

constexpr Resources kWorker = {8000, 8192, 0};
constexpr Resources kSmall = {1000, 1024, 0};

// Ends everything that is claimed, successfully or not.
class Ending {
 public:
  explicit Ending(Fixture& fixture) : fixture_(fixture) {}

  void Add(const std::vector<Action>& actions) {
    left_.insert(left_.end(), actions.begin(), actions.end());
  }

  template <typename Fails>
  void Run(int steps, Fails fails) {
    for (int i = 0; i < steps; ++i) {
      std::vector<Action> actions = std::exchange(left_, {});
      std::ranges::copy(fixture_.Pass(seconds(5)), std::back_inserter(actions));
      for (const Action& action : actions) {
        Count(action);
        if (const auto* claim = std::get_if<Claim>(&action)) {
          End(*claim, fails(*claim));
        }
      }
    }
  }

  std::map<WorkerId, int> quarantined;
  std::map<WorkerId, int> released;
  std::vector<RefuseJob> refused;
  int probes = 0;

 private:
  void Count(const Action& action) {
    if (const auto* it = std::get_if<Quarantine>(&action)) {
      ++quarantined[it->worker];
    } else if (const auto* it = std::get_if<Release>(&action)) {
      ++released[it->worker];
    } else if (const auto* it = std::get_if<RefuseJob>(&action)) {
      refused.push_back(*it);
    } else if (const auto* it = std::get_if<Claim>(&action)) {
      probes += it->reason == PlacementReason::kProbe ? 1 : 0;
    }
  }

  void End(const Claim& claim, bool fails) {
    fixture_.Start(claim);
    const auto ending =
        fails ? records::TaskEnding::kFailed : records::TaskEnding::kFinished;
    Add(fixture_.Handle(TaskEnded{claim.task, claim.attempt, ending, {}}));
  }

  Fixture& fixture_;
  std::vector<Action> left_;  // To be done in the next step.
};

void AddWorkers(Fixture& fixture, int count) {
  for (int i = 0; i < count; ++i) {
    fixture.AddWorker("w" + std::to_string(i), kWorker);
  }
}

TEST(FailuresTest, BadWorkerIsQuarantinedAndReleasedWhenItWorks) {
  Fixture fixture;
  AddWorkers(fixture, 6);
  Ending ending(fixture);
  ending.Add(fixture.Submit(SomeJob("good", 20'000, kSmall)));
  const WorkerId bad("w3");
  ending.Run(20, [&](const Claim& it) { return it.worker == bad; });
  EXPECT_EQ(ending.quarantined.size(), 1U);
  EXPECT_EQ(ending.quarantined[bad], 1);
  EXPECT_TRUE(ending.refused.empty());
  ending.Run(60, [](const Claim&) { return false; });
  EXPECT_EQ(ending.released[bad], 1);
  EXPECT_GE(ending.probes, 2);
  EXPECT_FALSE(fixture.scheduler().View(bad)->is_quarantined);
}

TEST(FailuresTest, BadJobIsRefusedAndBlamesNoWorker) {
  Fixture fixture;
  AddWorkers(fixture, 6);
  Ending ending(fixture);
  ending.Add(fixture.Submit(SomeJob("good", 300, kSmall)));
  JobSubmitted bad = SomeJob("bad", 1, kSmall);
  bad.kind = KindId("bad-kind");
  bad.priority = 1;
  ending.Add(fixture.Submit(bad));
  ending.Run(100, [&](const Claim& it) { return it.task.job == bad.job; });
  ASSERT_EQ(ending.refused.size(), 1U);
  EXPECT_EQ(ending.refused[0].reason, RefusalReason::kJobFailedEverywhere);
  EXPECT_TRUE(ending.quarantined.empty());
}

TEST(FailuresTest, WaveOfCancellationsStopsEachTaskOnce) {
  Fixture fixture;
  AddWorkers(fixture, 6);
  size_t claimed = 0;
  size_t stopped = 0;
  for (int i = 0; i < 6; ++i) {
    claimed +=
        Only<Claim>(fixture.Submit(SomeJob(std::to_string(i), 4, kSmall)))
            .size();
  }
  for (int i = 0; i < 6; ++i) {
    const JobCancelled cancelled{JobId(std::to_string(i))};
    stopped += Only<Evict>(fixture.Handle(cancelled)).size();
    EXPECT_TRUE(fixture.Handle(cancelled).empty());
  }
  EXPECT_EQ(claimed, 24U);
  EXPECT_EQ(stopped, claimed);
}

TEST(LinearBeliefTest, BlamesTheNeighbourThatHurts) {
  LinearBelief belief;
  belief.Grow({0.5, 0.3});
  belief.Grow({0.1, 0.5});
  belief.Grow({0.1, 0.5});
  for (int i = 0; i < 60; ++i) {
    const double quiet = (i % 3) / 4.0;
    const double noisy = (i % 5) / 8.0;
    belief.Observe({{0, 1}, {1, quiet}, {2, noisy}}, 0.4 + 1.5 * noisy, 0.05);
  }
  EXPECT_NEAR(belief.Mean({{1, 1}}), 0.0, 0.05);
  EXPECT_NEAR(belief.Mean({{2, 1}}), 1.5, 0.05);
  EXPECT_LT(belief.Variance({{2, 1}}), 0.01);
}

}  // namespace

}  // namespace papayadrift::placement
