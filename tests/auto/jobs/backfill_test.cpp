#include "jobs/backfill.h"

#include <gtest/gtest.h>

namespace papayadrift::jobs {
namespace {

constexpr Instant kNow(seconds(100));
const TaskKey kHolder{JobId("large"), 0, 1, 0};
const TaskKey kOther{JobId("short"), 0, 0, 3};

CapacityReservation Reservation() {
  CapacityReservation reservation;
  reservation.step = kHolder;
  reservation.need = {6400, 13000, 0};
  reservation.priority = 1;
  reservation.due = kNow + milliseconds(500);
  reservation.spare = {600, 1000, 0};
  reservation.latest = kNow + milliseconds(1000);
  reservation.expires_at = kNow + milliseconds(2500);
  return reservation;
}

bool MayUse(const Resources& need, const BackfillClaim& claim) {
  return MayUseReserved(Reservation(), kOther, need, claim, kNow);
}

TEST(BackfillTest, TasksOfTheStepUseIt) {
  EXPECT_TRUE(MayUseReserved(Reservation(),
                             {kHolder.job, kHolder.occurrence, kHolder.step, 7},
                             {6400, 13000, 0}, {}, kNow));
  EXPECT_FALSE(MayUse({6400, 13000, 0}, {}));
}

// Guards against short tasks that replace each other on the runner, so that a
// large place never becomes free.
TEST(BackfillTest, LaterEndsAreHeldBack) {
  const Resources need{1000, 100, 0};
  EXPECT_TRUE(MayUse(need, {1, milliseconds(500), false}));
  EXPECT_FALSE(MayUse(need, {1, milliseconds(501), false}));
  EXPECT_FALSE(MayUse(need, {1, milliseconds(0), false}));
}

TEST(BackfillTest, WorkThatLeavesTheCapacityFreeUsesIt) {
  EXPECT_TRUE(MayUse({600, 1000, 0}, {2, milliseconds(0), false}));
  EXPECT_FALSE(MayUse({601, 1000, 0}, {2, milliseconds(0), false}));
}

// Guards against fillers whose memory fills the runner, though their processors
// don't count.
TEST(BackfillTest, TheMemoryOfFillersCounts) {
  Step filler;
  filler.is_filler = true;
  filler.need = {3500, 900, 0};
  EXPECT_TRUE(MayUse(ReservableNeed(filler), {2, milliseconds(2700), false}));
  filler.need.memory_mebibytes = 6400;
  EXPECT_FALSE(MayUse(ReservableNeed(filler), {2, milliseconds(2700), false}));
}

TEST(BackfillTest, WorkThatRunsOnUsesUpWhatIsSpare) {
  CapacityReservation reservation = Reservation();
  const BackfillClaim runs_on{1, milliseconds(700), false};
  OnBackfilled(reservation, {500, 100, 0}, {1, milliseconds(400), false}, kNow);
  EXPECT_EQ(reservation.spare, Reservation().spare);
  OnBackfilled(reservation, {500, 100, 0}, runs_on, kNow);
  EXPECT_EQ(reservation.spare, (Resources{100, 900, 0}));
  EXPECT_FALSE(
      MayUseReserved(reservation, kOther, {500, 100, 0}, runs_on, kNow));
}

// Guards against a reservation by which work of a lower priority class holds up
// a higher one.
TEST(BackfillTest, HigherPriorityIsNeverHeldBack) {
  EXPECT_TRUE(MayUse({6400, 13000, 0}, {0, milliseconds(0), false}));
}

// Guards against short urgent tasks that are late since all runners with room
// are reserved; nor may they hold up the large task for longer than stated.
TEST(BackfillTest, UrgentWorkDelaysAReservationByABoundedTime) {
  const Resources need{1000, 100, 0};
  EXPECT_TRUE(MayUse(need, {1, milliseconds(1000), true}));
  EXPECT_FALSE(MayUse(need, {1, milliseconds(1001), true}));
  EXPECT_FALSE(MayUse(need, {2, milliseconds(1000), true}));
}

TEST(BackfillTest, ALongerOrLowerClaimIsHeldBackAsWell) {
  const BackfillClaim held{1, milliseconds(700), false};
  EXPECT_TRUE(IsHeldBackLike({1, milliseconds(700), false}, held));
  EXPECT_TRUE(IsHeldBackLike({2, milliseconds(0), false}, held));
  EXPECT_FALSE(IsHeldBackLike({0, milliseconds(700), false}, held));
  EXPECT_FALSE(IsHeldBackLike({1, milliseconds(699), false}, held));
  EXPECT_FALSE(IsHeldBackLike({1, milliseconds(700), true}, held));
  EXPECT_FALSE(IsHeldBackLike({1, milliseconds(700), false},
                              {1, milliseconds(0), false}));
}

}  // namespace
}  // namespace papayadrift::jobs
