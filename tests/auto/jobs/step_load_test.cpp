#include "jobs/step_load.h"

#include <gtest/gtest.h>

#include <cmath>

#include "jobs/policy_settings.h"

namespace papayadrift::jobs {
namespace {

constexpr milliseconds kPeriod(20000);
constexpr milliseconds kAhead(1200);
// Slack that is kept for errors of the forecast.
constexpr double kMargin = PaceSettings().min_slack - 1.0;

Instant At(int64_t ms) {
  return Instant(milliseconds(ms));
}

// A service whose load swings within 20 seconds.
double SlackAt(int64_t ms) {
  const double part = static_cast<double>(ms) / kPeriod.count();
  return 3.0 + 1.6 * std::sin(2 * M_PI * part);
}

// Ten tasks report twice a second; their gauges are off by up to a tenth.
StepLoad Follow(int64_t until_ms) {
  StepLoad load;
  for (int64_t ms = 0; ms <= until_ms; ms += 50) {
    const double error = ms / 50 % 3 == 0 ? 0.1 : ms / 50 % 3 == 1 ? -0.1 : 0.0;
    load.Observe(SlackAt(ms) * (1 + error), At(ms));
  }
  return load;
}

TEST(StepLoadTest, KnowsNothingBeforeTheFirstSample) {
  EXPECT_EQ(StepLoad().Forecast(At(1000)), 0.0);
}

// Where the load rises fastest, gauges that lag by a second show a slack that
// is half a unit too high: fillers paced by it push services over their target.
TEST(StepLoadTest, ForecastsARisingLoad) {
  for (const int64_t now_ms : {9000, 10000, 11000, 30000}) {
    const int64_t then_ms = now_ms + kAhead.count();
    const double forecast = Follow(now_ms).Forecast(At(then_ms));
    EXPECT_NEAR(forecast, SlackAt(then_ms), kMargin) << now_ms;
    EXPECT_LT(std::abs(forecast - SlackAt(then_ms)),
              std::abs(SlackAt(now_ms) - SlackAt(then_ms)))
        << now_ms;
  }
}

TEST(StepLoadTest, OneWrongSampleMovesItLittle) {
  StepLoad load = Follow(10000);
  const double before = load.Forecast(At(10050));
  load.Observe(0.3, At(10050));
  EXPECT_NEAR(load.Forecast(At(10050)), before, kMargin);
}

}  // namespace
}  // namespace papayadrift::jobs
