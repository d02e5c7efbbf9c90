#include "entry/loan_driver.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "loan_region.h"

namespace papayadrift::entry {
namespace {

constexpr uint64_t kFirstSeed = 20261204;
constexpr uint64_t kHistories = 200;
// Until one shows what a part of the rule is for.
constexpr uint64_t kMostHistories = 2000;
constexpr int kSteps = 1500;

// Returns whether a runner ever worked on more than its slots in the histories.
bool IsExceeded(const LoanRules& rules, uint64_t histories, int* loans) {
  for (uint64_t seed = kFirstSeed; seed < kFirstSeed + histories; ++seed) {
    LoanRegion region(seed, rules);
    for (int i = 0; i < kSteps; ++i) {
      region.Step();
      if (region.MostInUse() > kRunnerTotal.slots) {
        return true;
      }
    }
    *loans += region.loans();
  }
  return false;
}

TEST(LoanDriverHistoryTest, NoRunnerEverGetsMoreThanItsSlots) {
  int loans = 0;
  EXPECT_FALSE(IsExceeded(LoanRules(), kHistories, &loans));
  // Histories without loans would show nothing.
  EXPECT_GT(loans, static_cast<int>(kHistories));
}

TEST(LoanDriverHistoryTest, NoPartOfTheRuleCanBeLeftOut) {
  int loans = 0;
  LoanRules rules;
  rules.allowances_end = false;
  EXPECT_TRUE(IsExceeded(rules, kMostHistories, &loans));
  rules = LoanRules();
  rules.waits_for_lent_to_leave = false;
  EXPECT_TRUE(IsExceeded(rules, kMostHistories, &loans));
}

TEST(LoanDriverHistoryTest, AllSlotsAreBackOnceAllHasSettled) {
  for (uint64_t seed = kFirstSeed; seed < kFirstSeed + kHistories; ++seed) {
    LoanRegion region(seed, LoanRules());
    for (int i = 0; i < kSteps; ++i) {
      region.Step();
    }
    region.Settle();
    EXPECT_EQ(region.LentSum(), 0) << seed;
    if (region.HasLiveMembers()) {
      const std::vector<int32_t> all(2, kRunnerTotal.slots);
      EXPECT_EQ(region.AllowedSums(), all) << seed;
    }
  }
}

}  // namespace
}  // namespace papayadrift::entry
