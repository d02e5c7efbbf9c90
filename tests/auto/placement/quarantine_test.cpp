#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

#include "fixture.h"
#include "placement/bayesian_linear_model.h"

namespace papayadrift::placement {

namespace {

constexpr Resources kWorker = {8000, 8192, 0};
constexpr Resources kSmall = {1000, 1024, 0};

// Ends every claimed attempt, successfully or not.
class AttemptEnder {
 public:
  explicit AttemptEnder(Fixture& fixture) : fixture_(fixture) {}

  void Add(const std::vector<Action>& actions) {
    pending_actions_.insert(pending_actions_.end(), actions.begin(),
                            actions.end());
  }

  template <typename Fails>
  void Run(int steps, Fails fails) {
    for (int i = 0; i < steps; ++i) {
      std::vector<Action> actions = std::exchange(pending_actions_, {});
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
    const auto ender =
        fails ? records::TaskEnding::kFailed : records::TaskEnding::kFinished;
    Add(fixture_.Handle(TaskEnded{claim.task, claim.attempt, ender, {}}));
  }

  Fixture& fixture_;
  std::vector<Action> pending_actions_;  // Handled in the next step.
};

void AddWorkers(Fixture& fixture, int count) {
  for (int i = 0; i < count; ++i) {
    fixture.AddWorker("w" + std::to_string(i), kWorker);
  }
}

TEST(QuarantineTest, FailingWorkerIsQuarantinedAndReleasedOnceItWorks) {
  Fixture fixture;
  AddWorkers(fixture, 6);
  AttemptEnder ender(fixture);
  ender.Add(fixture.Submit(SomeJob("good", 20'000, kSmall)));
  const WorkerId bad("w3");
  ender.Run(20, [&](const Claim& it) { return it.worker == bad; });
  EXPECT_EQ(ender.quarantined.size(), 1U);
  EXPECT_EQ(ender.quarantined[bad], 1);
  EXPECT_TRUE(ender.refused.empty());
  ender.Run(60, [](const Claim&) { return false; });
  EXPECT_EQ(ender.released[bad], 1);
  EXPECT_GE(ender.probes, 2);
  EXPECT_FALSE(fixture.scheduler().View(bad)->is_quarantined);
}

TEST(QuarantineTest, FailingJobIsRefusedWithoutQuarantine) {
  Fixture fixture;
  AddWorkers(fixture, 6);
  AttemptEnder ender(fixture);
  ender.Add(fixture.Submit(SomeJob("good", 300, kSmall)));
  JobSubmitted bad = SomeJob("bad", 1, kSmall);
  bad.kind = KindId("bad-kind");
  bad.priority = 1;
  ender.Add(fixture.Submit(bad));
  ender.Run(100, [&](const Claim& it) { return it.task.job == bad.job; });
  ASSERT_EQ(ender.refused.size(), 1U);
  EXPECT_EQ(ender.refused[0].reason, RefusalReason::kJobFailedEverywhere);
  EXPECT_TRUE(ender.quarantined.empty());
}

TEST(QuarantineTest, MassCancellationStopsEachTaskOnce) {
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

TEST(BayesianLinearModelTest, AttributesPressureToTheHarmfulKind) {
  BayesianLinearModel belief;
  belief.AddCoefficient({0.5, 0.3});
  belief.AddCoefficient({0.1, 0.5});
  belief.AddCoefficient({0.1, 0.5});
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
