#include "simulation.h"

#include <gtest/gtest.h>

#include "variants.h"

namespace papayadrift::experiment {
namespace {

constexpr char kWorkload[] = R"(
[fleet]
runners = 12
cores = 64 cores
memory = 250 GiB
length = 12 s

[services]
at_start = 4
images = 4
width = 13
most_width = 28
cores = 13 cores
memory = 26 GiB
duration = 70 s

[batch]
per_minute = 45
images = 6
steps_percent = 200
width = 18
most_width = 80
cores = 7 cores
memory = 13 GiB
duration = 1700 ms

[urgent]
per_minute = 200
width = 9
most_width = 57
cores = 1.3 cores
memory = 2600 MiB
duration = 640 ms
)";

Workload ReadTestWorkload() {
  std::vector<settings::Problem> problems;
  return *ReadWorkload(kWorkload, problems);
}

TEST(SimulationTest, IsDeterministic) {
  const Workload workload = ReadTestWorkload();
  const Measures first = RunSimulation(workload, {}, 7);
  const Measures second = RunSimulation(workload, {}, 7);
  EXPECT_EQ(first.queues(), second.queues());
  EXPECT_EQ(first.orders(), second.orders());
  EXPECT_GT(first.orders(), 0U);
}

// The purpose of the tool: it distinguishes good scheduling policies from bad
// ones. A single seed doesn't.
TEST(SimulationTest, FirstFitDoesWorse) {
  constexpr uint64_t kSeeds = 20;
  const Workload workload = ReadTestWorkload();
  const std::vector<NamedVariant> variants = StandardVariants();
  double pace_gain = 0;
  double over_target_gain = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Measures today = RunSimulation(workload, variants[0].variant, seed);
    const Measures first_fit =
        RunSimulation(workload, variants[2].variant, seed);
    pace_gain += today.filler_pace() - first_fit.filler_pace();
    over_target_gain += first_fit.over_target() - today.over_target();
  }
  EXPECT_GT(pace_gain, 0.0);
  EXPECT_GT(over_target_gain, 0.0);
}

TEST(SimulationTest, RecoversFromLostOrders) {
  Workload workload = ReadTestWorkload();
  workload.lost_orders = 0.05;
  workload.crashes_per_minute = 10;
  const Measures measures = RunSimulation(workload, {}, 7);
  EXPECT_GT(measures.queues().at(kUrgentQueue).share_in_time(), 0.3);
}

TEST(WorkloadTest, RefusesInvalidWorkloads) {
  std::vector<settings::Problem> problems;
  EXPECT_FALSE(ReadWorkload("[fleet]\nrunners = 0\n", problems));
  EXPECT_FALSE(problems.empty());
}

TEST(VariantsTest, ReadsChangedSettings) {
  std::vector<settings::Problem> problems;
  const auto variants =
      ReadVariants("[variant apart]\nother_image = 120\n", problems);
  ASSERT_TRUE(variants);
  ASSERT_EQ(variants->size(), 1U);
  EXPECT_EQ(variants->at(0).variant.settings.policy.placement.other_image, 1.2);
  EXPECT_EQ(variants->at(0).variant.settings.policy.placement.first_serving,
            jobs::PlacementCosts().first_serving);
}

}  // namespace
}  // namespace papayadrift::experiment
