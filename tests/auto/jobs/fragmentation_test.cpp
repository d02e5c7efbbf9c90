#include "jobs/fragmentation.h"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

#include "jobs/runner_choice.h"
#include "scarce_fleet.h"

namespace papayadrift::jobs {
namespace {

constexpr Resources kLarge{6400, 13000, 0};
constexpr Resources kShort{500, 100, 0};
constexpr Instant kNow(seconds(100));

TEST(FragmentationTest, PlacesAreLimitedByWhatIsScarcest) {
  EXPECT_EQ(PlacesIn({16000, 64000, 0}, kLarge), 2);
  EXPECT_EQ(PlacesIn({16000, 12999, 0}, kLarge), 0);
  EXPECT_EQ(PlacesIn({16000, 64000, 0}, {1000, 100, 1}), 0);
  EXPECT_EQ(PlacesIn({-500, 64000, 0}, kLarge), 0);
}

TEST(FragmentationTest, AGapCostsNoPlace) {
  LargeSizes sizes;
  sizes.Add(kLarge, kNow);
  EXPECT_EQ(LostPlaces(sizes, {6900, 64000, 0}, kShort, 4), 0);
  EXPECT_EQ(LostPlaces(sizes, {6899, 64000, 0}, kShort, 4), 1);
  EXPECT_EQ(LostPlaces(sizes, {6399, 64000, 0}, kShort, 4), 0);
  // Two tasks of nearly the same size are no matter of fragmentation.
  EXPECT_EQ(LostPlaces(sizes, {6899, 64000, 0}, {1601, 100, 0}, 4), 0);
}

// Guards against placement whose cost grows with the number of sizes, and
// against sizes that are kept for ever.
TEST(FragmentationTest, TheFourLargestRecentSizesAreKept) {
  LargeSizes sizes;
  for (int64_t cores = 1; cores <= 50; ++cores) {
    sizes.Add({cores * 1000, 100, 0}, kNow + milliseconds(cores));
  }
  sizes.Add({1000, 100, 0}, kNow + milliseconds(100));
  EXPECT_EQ(sizes.needs().size(), 4U);
  for (const Resources& it : sizes.needs()) {
    EXPECT_GE(it.millicores, 47'000);
  }
  sizes.Add({48'000, 100, 0}, kNow + seconds(30));
  sizes.RemoveBefore(kNow + seconds(1));
  EXPECT_EQ(sizes.needs(), (std::vector<Resources>{{48'000, 100, 0}}));
}

// Returns after how long a large task starts on a fleet of 8 runners with one
// large task each: the short tasks fit into gaps on each runner, but for a few.
std::optional<milliseconds> StartOfALargeTask(bool is_enabled) {
  constexpr uint32_t kRunners = 8;
  JobSchedulerSettings settings;
  settings.policy.scarcity.fragmentation.is_enabled = is_enabled;
  ScarceFleet fleet(settings,
                    {{"short", kShort, 600, 600, 0, false},
                     {"large", kLarge, 0, 0, 0, false}},
                    kRunners, {16000, 64000, 0});
  fleet.Submit("large", kRunners);
  fleet.Run(milliseconds(1000));
  const auto submit = [&] { fleet.Submit("short", 2); };
  fleet.Run(milliseconds(3000), submit);
  const uint32_t large = fleet.Submit("large", 4);
  fleet.Run(milliseconds(5000), submit);
  EXPECT_LE(fleet.LongestWait("short"), milliseconds(100));
  return fleet.StartedAfter(large);
}

// Guards against large tasks that wait since short ones, for which there is
// room in gaps, take away the last places for large ones.
TEST(FragmentationTest, ShortTasksLeavePlacesForLargeOnes) {
  EXPECT_EQ(StartOfALargeTask(false), std::nullopt);
  EXPECT_LE(StartOfALargeTask(true), milliseconds(100));
}

// Guards against fillers and serving tasks that no longer go where they
// interfere least.
TEST(FragmentationTest, OnlyShortTasksAreAffected) {
  Fleet fleet;
  const RunnerIncarnation first{"node-1", "i", 1};
  const RunnerIncarnation second{"node-2", "i", 1};
  for (const RunnerIncarnation& incarnation : {first, second}) {
    Runner& runner = fleet.Get(incarnation);
    runner.report.incarnation = incarnation;
    runner.report.service = "s";
    runner.report.capacity = {8000, 64000, 0};
    runner.has_report = true;
    runner.lease_expires_at = Instant() + seconds(6);
  }
  jobs::Run other;
  other.need = {1800, 100, 0};
  fleet.Get(second).runs[{JobId("b"), 0, 0, 0}] = other;
  LargeSizes sizes;
  sizes.Add({8000, 13000, 0}, kNow);
  Step step;
  step.need = {1000, 100, 0};
  PlacementRequest request{{JobId("a"), 0, 0, 0}, &step, "s", std::nullopt};
  const Interference interference;
  const auto choose = [&] {
    return ChooseRunner(fleet, interference, {}, request, Instant())
        ->report.incarnation;
  };
  EXPECT_EQ(choose(), first);
  request.large_sizes = &sizes;
  EXPECT_EQ(choose(), second);
  step.is_long_running = true;
  EXPECT_EQ(choose(), first);
  step.is_long_running = false;
  step.is_filler = true;
  EXPECT_EQ(choose(), first);
}

}  // namespace
}  // namespace papayadrift::jobs
