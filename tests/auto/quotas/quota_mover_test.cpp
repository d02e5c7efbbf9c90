#include "quotas/quota_mover.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <pcg_random.hpp>

namespace papayadrift::quotas {
namespace {

const TeamId kTeam("t");
const RegionId kSouth("south");
constexpr Instant kStart{seconds(1000)};
constexpr MoverSettings kSettings;

Resources Cores(int64_t cores) {
  return {1000 * cores, 0, 0};
}

std::vector<TeamNeed> Need(int64_t held, int64_t granted, int64_t waiting) {
  return {{kTeam, Cores(held), Cores(granted), Cores(waiting)}};
}

TEST(QuotaMoverTest, WantsWhatATeamLacksOnceItHasLackedItForLong) {
  QuotaMover mover(kSettings);
  mover.Observe(kStart, Need(10, 8, 6));
  EXPECT_EQ(mover.TakeWants(kStart), std::nullopt);
  const Instant later = kStart + kSettings.patience;
  mover.Observe(later, Need(10, 10, 4));
  EXPECT_EQ(mover.TakeWants(later), (TeamAmounts{{kTeam, Cores(4)}}));
  EXPECT_EQ(mover.TakeWants(later), std::nullopt);
  mover.Observe(later, Need(10, 10, 0));
  EXPECT_EQ(mover.TakeWants(later), TeamAmounts());
}

TEST(QuotaMoverTest, AShortShortageIsNotTold) {
  QuotaMover mover(kSettings);
  mover.Observe(kStart, Need(10, 8, 6));
  mover.Observe(kStart + seconds(10), Need(10, 8, 0));
  const Instant later = kStart + kSettings.patience;
  mover.Observe(later, Need(10, 8, 6));
  EXPECT_EQ(mover.TakeWants(later), std::nullopt);
}

TEST(QuotaMoverTest, GivesHalfOfWhatIsSpareAndNoMoreThanIsWanted) {
  QuotaMover mover(kSettings);
  mover.Observe(kStart, Need(10, 2, 0));
  const std::map<RegionId, TeamAmounts> wants = {
      {kSouth, {{kTeam, Cores(20)}}}};
  EXPECT_TRUE(mover.TakeGifts(kStart, wants).empty());
  const Instant later = kStart + kSettings.patience;
  mover.Observe(later, Need(10, 2, 0));
  EXPECT_EQ(mover.TakeGifts(later, wants),
            (std::vector<Gift>{{kSouth, kTeam, Cores(4)}}));
  EXPECT_TRUE(mover.TakeGifts(later, wants).empty());
  const Instant again = later + kSettings.patience;
  mover.Observe(again, Need(6, 2, 0));
  EXPECT_EQ(mover.TakeGifts(again, {{kSouth, {{kTeam, Cores(1)}}}}),
            (std::vector<Gift>{{kSouth, kTeam, Cores(1)}}));
}

// Two regions whose need for one team swings: moves are bounded by the holds,
// whatever the swings, and nothing is ever given that is not spare.
RC_GTEST_PROP(QuotaMoverProperty, SwingingNeedsCauseNoChurn, ()) {
  pcg32 random(*rc::gen::arbitrary<uint32_t>());
  const RegionId names[] = {RegionId("north"), kSouth};
  QuotaMover movers[] = {QuotaMover(kSettings), QuotaMover(kSettings)};
  int64_t held[] = {10, 10};
  std::map<RegionId, TeamAmounts> wants;
  int reversals = 0;
  int last_giver = -1;
  constexpr int kSteps = 360;
  constexpr seconds kStep(10);
  for (int step = 0; step < kSteps; ++step) {
    const Instant now = kStart + step * kStep;
    const int busy = (step / static_cast<int>(1 + random(30))) % 2;
    for (int i = 0; i < 2; ++i) {
      const int64_t demand = i == busy ? 18 : 1;
      const int64_t granted = std::min(held[i], demand);
      movers[i].Observe(now, Need(held[i], granted, demand - granted));
      if (const auto stated = movers[i].TakeWants(now)) {
        wants[names[i]] = *stated;
      }
      auto others = wants;
      others.erase(names[i]);
      for (const Gift& gift : movers[i].TakeGifts(now, others)) {
        const int64_t amount = gift.amount.millicores / 1000;
        RC_ASSERT(amount > 0);
        RC_ASSERT(held[i] - amount >= granted);
        held[i] -= amount;
        held[1 - i] += amount;
        reversals += last_giver >= 0 && last_giver != i;
        last_giver = i;
      }
    }
    RC_ASSERT(held[0] + held[1] == 20);
  }
  RC_ASSERT(reversals <= 1 + kSteps * kStep / (kSettings.hold_off - kStep));
}

}  // namespace
}  // namespace papayadrift::quotas
