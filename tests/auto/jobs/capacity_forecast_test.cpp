#include "jobs/capacity_forecast.h"

#include <gtest/gtest.h>

namespace papayadrift::jobs {
namespace {

constexpr Instant kNow(seconds(100));

Run RunOf(int64_t millicores, milliseconds age, int64_t expected_ms) {
  Run run;
  run.need = {millicores, 100, 0};
  run.claimed_at = kNow - age;
  run.listed_since = kNow - age;
  run.progressed_at = kNow - age;
  run.expected_ms = expected_ms;
  return run;
}

std::optional<Instant> EndOf(const Run& run) {
  return ExpectedEnd(run, kNow);
}

TEST(CapacityForecastTest, ARunEndsAfterItsExpectedDuration) {
  EXPECT_EQ(EndOf(RunOf(500, milliseconds(200), 600)),
            kNow + milliseconds(400));
}

// Guards against a large task that waits for capacity that never becomes free.
TEST(CapacityForecastTest, LongRunningAndHeldRunsNeverEnd) {
  auto run = RunOf(500, milliseconds(200), 600);
  run.is_long_running = true;
  EXPECT_EQ(EndOf(run), std::nullopt);
  run = RunOf(500, milliseconds(200), 600);
  run.is_serving = true;
  EXPECT_EQ(EndOf(run), std::nullopt);
  run = RunOf(500, milliseconds(200), 600);
  run.pace_percent = 0;
  EXPECT_EQ(EndOf(run), std::nullopt);
}

// Guards against capacity that is taken for free since estimates are ten times
// too small: a run that is overdue is never expected to have ended.
TEST(CapacityForecastTest, AnOverdueRunTakesAsLongAgainAsItHasOverrun) {
  EXPECT_EQ(EndOf(RunOf(500, milliseconds(6000), 600)),
            kNow + milliseconds(5400));
  EXPECT_EQ(EndOf(RunOf(500, milliseconds(601), 600)), kNow + milliseconds(50));
}

TEST(CapacityForecastTest, ARunWithoutAnEstimateTakesAsLongAgain) {
  EXPECT_EQ(EndOf(RunOf(500, milliseconds(3000), 0)),
            kNow + milliseconds(3000));
  EXPECT_EQ(EndOf(RunOf(500, milliseconds(0), 0)), kNow + milliseconds(1000));
}

// Guards against estimates that are wrong by a factor of ten in either
// direction: the progress of a run shows how long it takes.
TEST(CapacityForecastTest, ProgressReplacesTheEstimate) {
  for (const int64_t estimate : {0, 100, 100'000}) {
    auto run = RunOf(500, milliseconds(1000), estimate);
    run.percent = 20;
    run.progressed_at = kNow;
    EXPECT_EQ(EndOf(run), kNow + milliseconds(4000)) << estimate;
  }
}

TEST(CapacityForecastTest, AResumedRunTakesOnlyTheRest) {
  auto run = RunOf(500, milliseconds(100), 1000);
  run.percent = 70;
  run.first_percent = 70;
  EXPECT_EQ(EndOf(run), kNow + milliseconds(200));
}

TEST(CapacityForecastTest, ASlowedRunTakesLonger) {
  auto run = RunOf(500, milliseconds(0), 1000);
  run.pace_percent = 50;
  EXPECT_EQ(EndOf(run), kNow + milliseconds(2000));
}

TEST(CapacityForecastTest, AWithdrawnRunEndsOnceItIsStopped) {
  auto run = RunOf(500, milliseconds(9000), 1000);
  run.is_long_running = true;
  run.is_withdrawn = true;
  run.withdrawn_at = kNow - milliseconds(300);
  EXPECT_EQ(EndOf(run), kNow + milliseconds(1000));
  run.withdrawn_at = kNow - milliseconds(3300);
  EXPECT_EQ(EndOf(run), kNow + milliseconds(2000));
}

TEST(CapacityForecastTest, CapacityGrowsAsRunsEnd) {
  Runner runner;
  runner.report.capacity = {8000, 1000, 0};
  runner.runs[{JobId("a"), 0, 0, 0}] = RunOf(3000, milliseconds(0), 600);
  runner.runs[{JobId("a"), 0, 0, 1}] = RunOf(2000, milliseconds(0), 300);
  auto serving = RunOf(1000, milliseconds(0), 100);
  serving.is_long_running = true;
  runner.runs[{JobId("b"), 0, 0, 0}] = serving;
  auto filler = RunOf(4000, milliseconds(0), 300);
  filler.is_filler = true;
  runner.runs[{JobId("c"), 0, 0, 0}] = filler;
  const CapacityForecast forecast = ForecastOf(runner, kNow);
  EXPECT_EQ(forecast,
            (CapacityForecast{{kNow, {2000, 600, 0}},
                              {kNow + milliseconds(300), {4000, 800, 0}},
                              {kNow + milliseconds(600), {7000, 900, 0}}}));
  EXPECT_EQ(EarliestFit(forecast, {2000, 700, 0}), forecast[1]);
  EXPECT_EQ(EarliestFit(forecast, {8000, 0, 0}), std::nullopt);
  EXPECT_EQ(FreeAt(forecast, kNow + milliseconds(599)), forecast[1].free);
  EXPECT_EQ(FreeAt(forecast, kNow + milliseconds(600)), forecast[2].free);
}

// Guards against a reservation on a runner that has shrunk below what is
// claimed there.
TEST(CapacityForecastTest, AnOvercommittedRunnerHasLessThanNothing) {
  Runner runner;
  runner.report.capacity = {1000, 1000, 0};
  runner.runs[{JobId("a"), 0, 0, 0}] = RunOf(3000, milliseconds(0), 600);
  const CapacityForecast forecast = ForecastOf(runner, kNow);
  EXPECT_EQ(forecast.front().free, (Resources{-2000, 900, 0}));
  EXPECT_EQ(EarliestFit(forecast, {500, 1, 0}), forecast[1]);
}

}  // namespace
}  // namespace papayadrift::jobs
