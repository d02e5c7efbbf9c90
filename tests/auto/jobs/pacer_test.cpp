#include "jobs/pacer.h"

#include <gtest/gtest.h>

namespace papayadrift::jobs {
namespace {

const RunnerLife kLife{"node", "i", 1};

Instant At(int64_t ms) {
  return Instant(milliseconds(ms));
}

TEST(PacerTest, LetsFillersWorkBesideCalmTasks) {
  Pacer pacer;
  EXPECT_EQ(pacer.Decide(kLife, {{10, 50}}, At(1000)), 100U);
}

// Replays a wave of load: a tail that rises over its target, and falls again
// once fillers beside it are slow.
TEST(PacerTest, FollowsAWave) {
  Pacer pacer;
  EXPECT_LE(pacer.Decide(kLife, {{80, 50}}, At(1000)), 50U);
  // A gauge that still shows the time before the change decides nothing.
  EXPECT_EQ(pacer.Decide(kLife, {{80, 50}}, At(1200)),
            pacer.Decide(kLife, {{80, 50}}, At(1300)));
  uint32_t percent = 100;
  for (int64_t ms = 2000; ms < 9000; ms += 500) {
    percent = pacer.Decide(kLife, {{10, 50}}, At(ms));
  }
  EXPECT_EQ(percent, 100U);
}

TEST(PacerTest, StopsFillersWhenNothingElseHelps) {
  Pacer pacer;
  uint32_t percent = 100;
  for (int64_t ms = 0; ms < 5000; ms += 500) {
    percent = pacer.Decide(kLife, {{400, 50}}, At(ms));
  }
  EXPECT_EQ(percent, 0U);
}

}  // namespace
}  // namespace papayadrift::jobs
