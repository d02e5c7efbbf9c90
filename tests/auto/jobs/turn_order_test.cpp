#include <gtest/gtest.h>

#include <optional>

#include "jobs/work_order.h"
#include "scarce_fleet.h"

namespace papayadrift::jobs {
namespace {

constexpr Resources kNeed{2000, 100, 0};
// Of ScarceFleet's queues, for a task of 0.6 s.
constexpr milliseconds kAllowed(2300);

JobSchedulerSettings SettingsOf(bool is_enabled) {
  JobSchedulerSettings settings;
  settings.policy.scarcity.turn_order.is_enabled = is_enabled;
  return settings;
}

TEST(TurnOrderTest, SlackIsAShareOfTheAllowedTime) {
  Queue queue;
  queue.target_factor = 2;
  Job job;
  job.steps.resize(1);
  job.accepted_ms = 10'000;
  // 2,000 ms are allowed from 10,000 on.
  const auto slack = [&](int64_t now, int64_t remaining_ms) {
    return SlackShare(RankOf(job, queue, 0, 1000, remaining_ms, 0, now),
                      remaining_ms, now);
  };
  EXPECT_DOUBLE_EQ(slack(10'000, 1000), 0.5);
  EXPECT_DOUBLE_EQ(slack(10'500, 1000), 0.25);
  EXPECT_DOUBLE_EQ(slack(11'500, 1000), -0.25);
}

// Returns after how long all tasks of a wide job have started, while small jobs
// of its own or another queue ask for slightly more than the fleet has: 32
// tasks of 0.7 s with the wait for the next report.
std::optional<milliseconds> StartOfAWideJob(bool is_enabled,
                                            const std::string& queue) {
  constexpr uint32_t kTasks = 24;
  ScarceFleet fleet(SettingsOf(is_enabled),
                    {{"small", kNeed, 600, 600, 0, false},
                     {"wide", kNeed, 600, 600, 0, false}},
                    4, {16'000, 64'000, 0});
  const auto submit = [&] { fleet.Submit("small", 1); };
  fleet.Run(milliseconds(1500), submit);
  const uint32_t wide = fleet.Submit(queue, kTasks);
  fleet.Run(milliseconds(8000), submit);
  return fleet.StartedAfter(wide);
}

// Guards against wide jobs that starve beside small ones of the same queue or
// of another one: they are last until they are late, and last again after that.
TEST(TurnOrderTest, AWideJobGetsItsTurnWhileItCanBeOnTime) {
  for (const char* queue : {"small", "wide"}) {
    const auto without = StartOfAWideJob(false, queue);
    EXPECT_TRUE(!without || *without > kAllowed) << queue;
    EXPECT_LE(StartOfAWideJob(true, queue), kAllowed - milliseconds(600))
        << queue;
  }
}

// Guards against many wide jobs that go first all at once, so that small ones
// are late: one job a queue has the turn.
TEST(TurnOrderTest, SmallJobsGoOnBesideManyWideOnes) {
  ScarceFleet fleet(SettingsOf(true),
                    {{"small", kNeed, 600, 600, 0, false},
                     {"wide", kNeed, 600, 600, 0, false}},
                    4, {16'000, 64'000, 0});
  for (int i = 0; i < 20; ++i) {
    fleet.Submit("wide", 24);
  }
  int steps = 0;
  fleet.Run(milliseconds(6000), [&] {
    if (++steps % 3 == 0) {
      fleet.Submit("small", 1);
    }
  });
  EXPECT_LE(fleet.LongestWait("small"), kAllowed - milliseconds(600));
}

// Guards against results without value that take capacity from work that can
// still earn, and against accepted jobs that never run.
TEST(TurnOrderTest, WorkPastItsCutoffYieldsForABoundedTime) {
  const auto start_of = [](bool is_enabled) {
    ScarceFleet fleet(SettingsOf(is_enabled),
                      {{"stale", {100, 100, 0}, 600, 600, 0, false},
                       {"large", {12'000, 100, 0}, 0, 0, 0, false},
                       {"blocker", {15'950, 100, 0}, 8000, 8000, 0, false}},
                      1, {16'000, 64'000, 0});
    fleet.Submit("blocker", 1);
    fleet.Run(milliseconds(100));
    const uint32_t stale = fleet.Submit("stale", 1);
    // Past three times the allowed time of 2.3 s.
    fleet.Run(milliseconds(7500));
    // Earning work of which one task finds a place and one doesn't.
    const uint32_t large = fleet.Submit("large", 2);
    fleet.Run(milliseconds(12'000));
    EXPECT_EQ(fleet.RunningTasks(large), 1U);
    return fleet.StartedAfter(stale);
  };
  EXPECT_LE(start_of(false), milliseconds(8500));
  const auto start = start_of(true);
  EXPECT_GE(start, milliseconds(9900));
  EXPECT_LE(start, milliseconds(10'500));
}

}  // namespace
}  // namespace papayadrift::jobs
