#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "scarce_fleet.h"

namespace papayadrift::jobs {
namespace {

constexpr Resources kCapacity{16000, 64000, 0};
constexpr uint32_t kRunners = 8;
// How long users let a task of 0.6 s wait.
constexpr milliseconds kMaxShortWait(1200);

JobSchedulerSettings SettingsOf(bool has_reservations) {
  JobSchedulerSettings settings;
  settings.policy.scarcity.reservations.is_enabled = has_reservations;
  return settings;
}

std::vector<WorkKind> KindsOf(int64_t estimated_ms) {
  return {{"short", {500, 100, 0}, 600, estimated_ms, 0, false},
          {"large", {6400, 13000, 0}, 0, 0, 0, false},
          {"batch", {4000, 1000, 0}, 5000, 5000, 0, false},
          {"filler", {2500, 8000, 0}, 2700, 2700, 2, true}};
}

// A service holds 6.4 of each runner's 16 cores, and short tasks hold more than
// half of the rest: there is room for another task of 6.4 cores, though on no
// single runner.
class ReservationsTest : public testing::Test {
 protected:
  void Begin(bool has_reservations,
             int64_t estimated_ms = 600,
             uint32_t runners = kRunners,
             const Resources& capacity = kCapacity) {
    runners_ = runners;
    fleet_.emplace(SettingsOf(has_reservations), KindsOf(estimated_ms), runners,
                   capacity);
    // Two on one runner would leave a place on another.
    fleet_->Submit("large", runners);
    fleet_->Run(milliseconds(1000));
    ASSERT_EQ(fleet_->RunningTasks(0), runners);
  }

  // Lets time pass. 3 short tasks for 8 runners and step hold 6.8 cores of each
  // runner.
  void Play(milliseconds time, uint32_t short_tasks_of_eight_runners = 3) {
    fleet_->Run(time, [&] {
      fleet_->Submit("short", runners_ * short_tasks_of_eight_runners / 8);
    });
  }

  const ReservationCounts& counts() const {
    return fleet_->scheduler().reservation_counts();
  }
  size_t CountEvents(JobSchedulerEvent::Kind kind) const {
    return static_cast<size_t>(
        std::ranges::count(fleet_->events(), kind, &JobSchedulerEvent::kind));
  }

  std::optional<ScarceFleet> fleet_;
  uint32_t runners_ = 0;
};

}  // namespace

// The failure that reservations prevent.
TEST_F(ReservationsTest, WithoutThemALargeTaskWaitsWithoutAnEnd) {
  Begin(false);
  Play(milliseconds(2000));
  const uint32_t large = fleet_->Submit("large", 1);
  Play(milliseconds(20'000));
  EXPECT_EQ(fleet_->StartedAfter(large), std::nullopt);
  EXPECT_EQ(counts(), ReservationCounts());
}

// Guards against large tasks that wait without an end beside short ones, and
// against short ones that are late because of large ones.
TEST_F(ReservationsTest, ALargeTaskStartsSoonBesideShortOnes) {
  Begin(true);
  Play(milliseconds(2000));
  const uint32_t large = fleet_->Submit("large", 1);
  Play(milliseconds(10'000));
  EXPECT_LE(fleet_->StartedAfter(large), milliseconds(3000));
  EXPECT_LE(fleet_->LongestWait("short"), kMaxShortWait);
  EXPECT_EQ(counts().used, 1U);
  EXPECT_EQ(counts().given_up, 0U);
  EXPECT_EQ(CountEvents(JobSchedulerEvent::Kind::kReservationUsed), 1U);
  EXPECT_EQ(fleet_->ReservedRunners(), 0U);
}

// Guards against a reserved runner that is idle until the time of the
// reservation, while short tasks could end by then.
TEST_F(ReservationsTest, ShortTasksRunUntilTheTimeOfAReservation) {
  Begin(true);
  fleet_->Submit("batch", kRunners);
  fleet_->Run(milliseconds(500));
  const uint32_t large = fleet_->Submit("large", 1);
  Play(milliseconds(3500), 2);
  EXPECT_EQ(fleet_->StartedAfter(large), std::nullopt);
  EXPECT_EQ(fleet_->ReservedRunners(), 1U);
  EXPECT_GT(counts().backfilled, 10U);
  Play(milliseconds(3000), 2);
  EXPECT_LE(fleet_->StartedAfter(large), milliseconds(5500));
  EXPECT_LE(fleet_->LongestWait("short"), kMaxShortWait);
}

// Guards against reservations that never end, and runners that admit too much,
// since estimates are wrong by a factor of ten or missing.
TEST_F(ReservationsTest, WrongEstimatesDelayALargeTaskByABoundedTime) {
  for (const int64_t estimated_ms : {0, 60, 6000}) {
    Begin(true, estimated_ms);
    const uint32_t large = fleet_->Submit("large", 1);
    Play(milliseconds(12'000));
    EXPECT_LE(fleet_->StartedAfter(large), milliseconds(8000)) << estimated_ms;
    EXPECT_LE(fleet_->LongestWait("short"), kMaxShortWait) << estimated_ms;
  }
}

// Guards against many waiting tasks that reserve the whole fleet, so that short
// ones find no room, and against a pass that forecasts all runners for each.
TEST_F(ReservationsTest, ManyWaitingTasksReserveABoundedPart) {
  constexpr uint32_t kManyRunners = 48;
  constexpr uint32_t kMaxReserved = kManyRunners / 8;
  constexpr uint32_t kMaxForecastsOfASecond = 5 * 4 * kManyRunners;
  Begin(true, 600, kManyRunners);
  Play(milliseconds(1000));
  for (int i = 0; i < 20; ++i) {
    fleet_->Submit("large", 14);
  }
  const uint64_t before = counts().forecasts;
  for (int second = 0; second < 4; ++second) {
    Play(milliseconds(1000));
    EXPECT_LE(fleet_->ReservedRunners(), kMaxReserved);
  }
  EXPECT_GT(counts().used, kMaxReserved);
  EXPECT_LE(counts().forecasts - before, 4 * kMaxForecastsOfASecond);
}

// Guards against a leader on a tenth of a core that computes forecasts although
// only short tasks and fillers wait.
TEST_F(ReservationsTest, NothingIsForecastForSmallTasksAndFillers) {
  Begin(true);
  fleet_->Submit("filler", 400);
  fleet_->Run(milliseconds(3000), [this] { fleet_->Submit("short", 10); });
  EXPECT_GT(fleet_->scheduler().waiting_tasks(), 0U);
  EXPECT_EQ(counts(), ReservationCounts());
}

// Guards against the memory of fillers, which keep coming, that a large task
// never gets.
TEST_F(ReservationsTest, FillersLeaveTheMemoryOfALargeTask) {
  const auto start_after = [&](bool has_reservations) {
    // Room for the memory of three fillers beside a large task, or of one
    // beside two.
    Begin(has_reservations, 600, kRunners, {16000, 40000, 0});
    constexpr int kStepsOfAFiller = 5;
    int steps = 0;
    const auto submit = [&] {
      if (++steps % kStepsOfAFiller == 0) {
        fleet_->Submit("filler", 1);
      }
    };
    fleet_->Run(milliseconds(3000), submit);
    const uint32_t large = fleet_->Submit("large", 1);
    fleet_->Run(milliseconds(12'000), submit);
    return fleet_->StartedAfter(large);
  };
  EXPECT_EQ(start_after(false), std::nullopt);
  EXPECT_LE(start_after(true), milliseconds(6000));
}

class ReservedRunnerTest : public ReservationsTest {
 protected:
  // Waits until a runner is reserved for a task and returns it.
  uint32_t Reserve() {
    Begin(true);
    Play(milliseconds(1000));
    large_ = fleet_->Submit("large", 1);
    for (int i = 0; i < 50 && !fleet_->ReservedRunner(); ++i) {
      Play(milliseconds(20));
    }
    EXPECT_EQ(counts().made, 1U);
    return fleet_->ReservedRunner().value_or(0);
  }

  void ExpectStartElsewhere(uint32_t reserved, milliseconds limit) {
    Play(milliseconds(300));
    EXPECT_NE(fleet_->ReservedRunner(), reserved);
    EXPECT_EQ(counts().given_up, 1U);
    Play(limit);
    EXPECT_LE(fleet_->StartedAfter(large_), limit);
    EXPECT_GE(counts().used, 1U);
  }

  uint32_t large_ = 0;
};

// Guards against a task that waits for a runner that accepts nothing.
TEST_F(ReservedRunnerTest, ADrainingRunnerIsGivenUp) {
  const uint32_t reserved = Reserve();
  fleet_->Drain(reserved);
  Play(milliseconds(200));
  ExpectStartElsewhere(reserved, milliseconds(5000));
}

TEST_F(ReservedRunnerTest, ARunnerThatHasShrunkIsGivenUp) {
  const uint32_t reserved = Reserve();
  fleet_->Shrink(reserved, {12000, 64000, 0});
  Play(milliseconds(200));
  ExpectStartElsewhere(reserved, milliseconds(5000));
}

TEST_F(ReservedRunnerTest, ALostRunnerIsGivenUp) {
  const uint32_t reserved = Reserve();
  fleet_->Lose(reserved);
  Play(milliseconds(2500));
  ExpectStartElsewhere(reserved, milliseconds(8000));
}

// Guards against a task that waits for a reservation of a leader that is gone.
TEST_F(ReservedRunnerTest, ANewLeaderMakesItsOwn) {
  Reserve();
  fleet_->ChangeLeader();
  EXPECT_EQ(fleet_->ReservedRunners(), 0U);
  Play(milliseconds(8000));
  EXPECT_LE(fleet_->StartedAfter(large_), milliseconds(8000));
  EXPECT_EQ(counts().used, 1U);
}

}  // namespace papayadrift::jobs
