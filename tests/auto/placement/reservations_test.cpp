#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "fixture.h"

namespace papayadrift::placement {

namespace {

constexpr Resources kWorker = {8000, 8192, 0};
constexpr Resources kSmall = {500, 1024, 0};
constexpr Resources kLarge = {1000, 6000, 0};
constexpr int kWorkers = 3;
constexpr uint32_t kLongestRunSeconds = 90;
constexpr int kLimitSeconds = 1000;

// Workers full of small tasks, with more small tasks always waiting.
class SaturatedFleet {
 public:
  SaturatedFleet(const Settings& settings, uint32_t seed)
      : fixture_(settings), random_(seed) {
    for (int i = 0; i < kWorkers; ++i) {
      fixture_.AddWorker(std::to_string(i), kWorker);
    }
    Execute(fixture_.Submit(SomeJob("first", 24, kSmall)));
  }

  // Returns the seconds until the job's first task is claimed.
  std::optional<int> WaitOf(const JobSubmitted& job) {
    awaited_ = job.job;
    Execute(fixture_.Submit(job));
    for (int waited = 0; waited < kLimitSeconds; ++waited) {
      if (has_started_) {
        return waited;
      }
      Step();
    }
    return std::nullopt;
  }

  const Fixture& fixture() const { return fixture_; }
  int evictions() const { return evictions_; }
  // Maximum number of workers with held capacity at the same time.
  int64_t most_held() const { return most_held_; }

 private:
  void Step() {
    Execute(fixture_.Pass(seconds(1)));
    const auto workers = fixture_.scheduler().workers();
    most_held_ = std::max<int64_t>(
        most_held_, std::ranges::count_if(workers, [](const WorkerView& it) {
          return it.held != Resources();
        }));
    const auto due = ends_.upper_bound(fixture_.now());
    std::vector<Claim> ended;
    for (auto it = ends_.begin(); it != due; ++it) {
      ended.push_back(it->second);
    }
    ends_.erase(ends_.begin(), due);
    for (const Claim& claim : ended) {
      Execute(fixture_.Handle(TaskEnded{
          claim.task, claim.attempt, records::TaskEnding::kFinished, {}}));
      Execute(fixture_.Submit(
          SomeJob("small-" + std::to_string(next_job_++), 1, kSmall)));
    }
    while (next_job_ < 10) {
      Execute(fixture_.Submit(
          SomeJob("small-" + std::to_string(next_job_++), 1, kSmall)));
    }
  }

  void Execute(const std::vector<Action>& actions) {
    evictions_ += static_cast<int>(Only<Evict>(actions).size());
    for (const Claim& claim : Only<Claim>(actions)) {
      fixture_.Start(claim);
      has_started_ |= claim.task.job == awaited_;
      const auto run = seconds(1 + random_(kLongestRunSeconds));
      ends_.emplace(fixture_.now() + run, claim);
    }
  }

  Fixture fixture_;
  pcg32 random_;
  std::multimap<Instant, Claim> ends_;
  JobId awaited_;
  bool has_started_ = false;
  int next_job_ = 0;
  int evictions_ = 0;
  int64_t most_held_ = 0;
};

RC_GTEST_PROP(ReservationsTest, LargeTaskStartsOnceAWorkerIsFree, ()) {
  const Settings settings;
  SaturatedFleet fleet(settings, *rc::gen::inRange(0U, 1U << 30));
  const auto waited = fleet.WaitOf(SomeJob("large", 1, kLarge));
  // The tasks on the worker at the time of the reservation end within the
  // longest run time; a retry follows at most one pause later.
  const auto pause = std::chrono::duration_cast<seconds>(
      settings.reservation_pause + settings.retry_pause);
  RC_ASSERT(waited.has_value());
  RC_ASSERT(*waited <= pause.count() + 2 + int{kLongestRunSeconds});
  RC_ASSERT(fleet.evictions() == 0);
}

TEST(ReservationsTest, WithoutThemALargeTaskStarves) {
  Settings settings;
  settings.has_reservations = false;
  SaturatedFleet fleet(settings, 1);
  EXPECT_EQ(fleet.WaitOf(SomeJob("large", 1, kLarge)), std::nullopt);
}

TEST(ReservationsTest, OneAtATimeOnASmallFleetAndExplained) {
  SaturatedFleet fleet(Settings(), 1);
  ASSERT_TRUE(fleet.WaitOf(SomeJob("large", 1, kLarge)));
  EXPECT_EQ(fleet.most_held(), 1);
  const Decision decision =
      fleet.fixture().scheduler().Explain({JobId("large"), 0});
  ASSERT_TRUE(std::holds_alternative<Placed>(decision));
  EXPECT_EQ(std::get<Placed>(decision).reason, PlacementReason::kReserved);
}

}  // namespace

}  // namespace papayadrift::placement
