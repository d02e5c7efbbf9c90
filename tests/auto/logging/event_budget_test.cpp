#include "logging/event_budget.h"

#include <gtest/gtest.h>

namespace papayadrift::logging {
namespace {

constexpr EventBudgetSettings kSettings{10, 5};

int TakeMany(EventBudget& budget, Instant now, int count) {
  int taken = 0;
  for (int n = 0; n < count; ++n) {
    taken += budget.TryTake(now) ? 1 : 0;
  }
  return taken;
}

TEST(EventBudgetTest, BurstThenSteadyRate) {
  EventBudget budget(kSettings);
  Instant now(seconds(1000));
  EXPECT_EQ(TakeMany(budget, now, 100), kSettings.burst_lines);
  int taken = 0;
  for (int step = 0; step < 100; ++step) {
    now += milliseconds(100);
    taken += TakeMany(budget, now, 100);
  }
  EXPECT_EQ(taken, 10 * kSettings.lines_per_second);
  now += seconds(60);
  EXPECT_EQ(TakeMany(budget, now, 100), kSettings.burst_lines);
}

TEST(EventBudgetTest, LeftOutLinesAreToldOnceAndCounted) {
  EventBudget budget(kSettings);
  TakeMany(budget, Instant(), 12);
  EXPECT_EQ(budget.TakeLeftOut(), 7U);
  EXPECT_EQ(budget.TakeLeftOut(), 0U);
  TakeMany(budget, Instant(), 3);
  EXPECT_EQ(budget.TakeLeftOut(), 3U);
  EXPECT_EQ(budget.left_out_count(), 10U);
}

}  // namespace
}  // namespace papayadrift::logging
