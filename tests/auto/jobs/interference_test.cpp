#include "jobs/interference.h"

#include <gtest/gtest.h>

#include <cmath>
#include <string>
#include <vector>

namespace papayadrift::jobs {
namespace {

Instant At(int64_t ms) {
  return Instant(milliseconds(ms));
}

const TaskKey kServing{JobId("a"), 0, 0, 0};

// Emulates a filler that starts and stops beside a serving task with an
// oscillating load of its own; the filler reduces the slack by `weight` if it
// uses the whole runner.
double Learn(double weight) {
  Interference interference;
  for (int64_t i = 0; i < 60; ++i) {
    const double share = i / 5 % 2 == 0 ? 0.0 : 0.2;
    const double wave = std::sin(static_cast<double>(i) / 5.0);
    interference.Observe(kServing, "serving", 3.0 + wave - weight * share,
                         {{"filler", share}}, At(i * 500));
  }
  return interference.Weight("serving", "filler");
}

TEST(InterferenceTest, DistinguishesInterferingPairs) {
  EXPECT_GT(Learn(8.0), 4.0);
  EXPECT_LT(Learn(0.0), 1.5);
}

// The load of a service swings by more than most fillers take, and the fillers
// beside a task hardly change: only another task of the same step, at the same
// time, shows what they do.
TEST(InterferenceTest, ComparesTasksOfOneStep) {
  constexpr double kHeavy = 8.0;
  constexpr double kShare = 0.2;
  Interference interference;
  for (int64_t i = 0; i < 8; ++i) {
    const double load = 2.0 * std::sin(static_cast<double>(i) / 4.0);
    const Instant at = At(i * 500);
    interference.Observe({JobId("a"), 0, 0, 0}, "s", 4.0 - load, {}, at);
    interference.Observe({JobId("a"), 0, 0, 1}, "s",
                         4.0 - load - kHeavy * kShare, {{"heavy", kShare}}, at);
    interference.Observe({JobId("a"), 0, 0, 2}, "s", 4.0 - load,
                         {{"light", kShare}}, at);
  }
  EXPECT_GT(interference.Weight("s", "heavy"), 6.0);
  EXPECT_LT(interference.Weight("s", "light"), 1.5);
}

// A task that has moved away is no sibling any more.
TEST(InterferenceTest, ForgetsSamplesOfTasksThatMoved) {
  Interference interference;
  interference.Observe({JobId("a"), 0, 0, 0}, "s", 4.0, {}, At(0));
  interference.Forget({JobId("a"), 0, 0, 0});
  const double before = interference.Weight("s", "f");
  interference.Observe({JobId("a"), 0, 0, 1}, "s", 1.0, {{"f", 0.2}}, At(10));
  EXPECT_EQ(interference.Weight("s", "f"), before);
}

TEST(InterferenceTest, AssumesInterferenceWithoutEvidence) {
  const Interference interference;
  EXPECT_GT(interference.Weight("serving", "filler"), 1.5);
}

TEST(InterferenceTest, EvidenceReducesTheMargin) {
  const Interference unsure;
  Interference sure;
  sure.ImportWeights({{"serving", "filler", 3.0, 0.7}});
  const auto margin = [](const Interference& it) {
    return it.ConservativeWeight("serving", "filler") -
           it.Weight("serving", "filler");
  };
  EXPECT_GT(margin(sure), 0.0);
  EXPECT_GT(margin(unsure), 4 * margin(sure));
}

TEST(InterferenceTest, SamplesThatOverlapAreNoEvidence) {
  Interference interference;
  const double before = interference.Weight("serving", "filler");
  for (int64_t i = 0; i < 40; ++i) {
    interference.Observe(kServing, "serving", 3.0,
                         {{"filler", i % 2 == 0 ? 0.0 : 0.2}}, At(i * 10));
  }
  EXPECT_EQ(interference.Weight("serving", "filler"), before);
}

// After a change of leaders the next one must not slow services to learn the
// weights again.
TEST(InterferenceTest, ExportsAndImportsWeights) {
  Interference first;
  for (int64_t i = 0; i < 60; ++i) {
    const double share = i / 4 % 2 == 0 ? 0.0 : 0.2;
    first.Observe({JobId("a"), 0, 0, 0}, "s", 4.0 - 10.0 * share,
                  {{"heavy", share}}, Instant(milliseconds(i * 500)));
    first.Observe({JobId("b"), 0, 0, 0}, "s", 4.0, {{"light", share}},
                  Instant(milliseconds(i * 500)));
  }
  Interference next;
  next.ImportWeights(first.Weights());
  ASSERT_EQ(next.Weights().size(), first.Weights().size());
  for (size_t i = 0; i < first.Weights().size(); ++i) {
    EXPECT_EQ(next.Weights()[i].filler_image, first.Weights()[i].filler_image);
    EXPECT_NEAR(next.Weights()[i].mean, first.Weights()[i].mean, 1e-6);
  }
  EXPECT_GT(next.Weight("s", "heavy"), 6.0);
  EXPECT_LT(next.Weight("s", "light"), 1.0);
}

// In the first seconds after a start most pairs of images have not run
// together. Guards against batch work waiting although it would not interfere
// with the serving tasks.
TEST(InterferenceTest, PredictsUnobservedPairsFromOthers) {
  constexpr double kHeavy = 10.0;
  Interference interference;
  const auto observe_pair = [&](const std::string& serving,
                                const std::string& filler, double weight,
                                int64_t start_ms) {
    for (int64_t i = 0; i < 24; ++i) {
      const double share = i / 3 % 2 == 0 ? 0.0 : 0.2;
      interference.Observe({JobId(serving + filler), 0, 0, 0}, serving,
                           4.0 - weight * share, {{filler, share}},
                           At(start_ms + i * 500));
    }
  };
  // Two kinds of hardware: each filler loads one, each serving task depends on
  // one.
  int64_t at_ms = 0;
  const std::vector<std::string> servings{"disk-1", "disk-2", "cache-1",
                                          "cache-2"};
  for (const std::string& serving : servings) {
    for (const std::string filler :
         {"disk-a", "disk-b", "cache-a", "cache-b"}) {
      const bool is_unobserved = serving == "disk-2" && filler.ends_with("-b");
      const bool is_alike = serving.substr(0, 4) == filler.substr(0, 4);
      if (!is_unobserved) {
        observe_pair(serving, filler, is_alike ? kHeavy : 0.0, at_ms);
        at_ms += 15000;
      }
    }
  }
  EXPECT_GT(interference.Weight("disk-2", "disk-b"), 6.0);
  EXPECT_LT(interference.Weight("disk-2", "cache-b"), 1.5);
}

}  // namespace
}  // namespace papayadrift::jobs
