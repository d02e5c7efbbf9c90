#include "cluster/leader_load.h"

#include <gtest/gtest.h>

namespace papayadrift::cluster {
namespace {

using Change = LeaderLoad::Change;

class LeaderLoadTest : public testing::Test {
 protected:
  static constexpr milliseconds kRound{50};

  // Begins a round `kRound` after the last one.
  Change Round(milliseconds lag, milliseconds view_age) {
    now_ += kRound;
    return load_.OnRound(now_, lag, now_ - view_age);
  }

  const LeaderLoadSettings settings_;
  LeaderLoad load_{settings_};
  Instant now_{seconds(100)};
};

TEST_F(LeaderLoadTest, SingleLateRoundIsNotBehind) {
  EXPECT_EQ(Round(settings_.max_lag * 4, milliseconds(0)), Change::kNone);
  EXPECT_EQ(Round(milliseconds(0), milliseconds(0)), Change::kNone);
}

TEST_F(LeaderLoadTest, RoundsThatStayLateAreBehind) {
  int rounds = 0;
  while (Round(settings_.max_lag * 2, milliseconds(0)) == Change::kNone) {
    ++rounds;
    ASSERT_LT(rounds, 20);
  }
  EXPECT_TRUE(load_.is_behind());
  EXPECT_EQ(load_.behind(), Behind{now_});
}

TEST_F(LeaderLoadTest, OldViewIsBehindAtOnce) {
  EXPECT_EQ(Round(milliseconds(0), settings_.max_view_age),
            Change::kFellBehind);
  EXPECT_EQ(load_.behind(), (Behind{now_, true}));
}

// Guards against a leader that is said to be behind and not to be by turns.
TEST_F(LeaderLoadTest, HasCaughtUpOnceItKeepsUpForAWhile) {
  Round(milliseconds(0), settings_.max_view_age);
  const Instant behind_at = now_;
  EXPECT_EQ(Round(milliseconds(0), milliseconds(0)), Change::kNone);
  EXPECT_EQ(Round(milliseconds(0), settings_.max_view_age), Change::kNone);
  Change change = Change::kNone;
  const Instant prompt_since = now_ + kRound;
  while (change == Change::kNone) {
    change = Round(milliseconds(0), milliseconds(0));
  }
  EXPECT_EQ(change, Change::kCaughtUp);
  EXPECT_EQ(now_ - prompt_since, settings_.catch_up_time);
  EXPECT_GT(prompt_since, behind_at);
  EXPECT_FALSE(load_.is_behind());
}

TEST_F(LeaderLoadTest, WorkIsCountedByKind) {
  load_.OnWork(WorkKind::kOrders, 3, milliseconds(2));
  load_.OnWork(WorkKind::kOrders, 1, milliseconds(1));
  const WorkSums work = load_.TakeWork();
  EXPECT_EQ(work.at(static_cast<size_t>(WorkKind::kOrders)),
            (WorkSum{4, milliseconds(3)}));
  EXPECT_EQ(work.at(static_cast<size_t>(WorkKind::kReports)), WorkSum());
  EXPECT_EQ(load_.TakeWork(), WorkSums());
}

TEST_F(LeaderLoadTest, ReadsAreCountedWithTheLongest) {
  load_.OnJobsRead(true, milliseconds(30));
  load_.OnJobsRead(false, milliseconds(2));
  EXPECT_EQ(load_.TakeReads(), (ReadSums{2, 1, milliseconds(30)}));
  EXPECT_EQ(load_.TakeReads(), ReadSums());
}

}  // namespace
}  // namespace papayadrift::cluster
