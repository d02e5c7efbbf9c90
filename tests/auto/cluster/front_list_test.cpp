#include "cluster/front_list.h"

#include <gtest/gtest.h>

#include <string>

namespace papayadrift::cluster {
namespace {

constexpr size_t kStandbys = 3;
constexpr milliseconds kLapse(30000);

FrontList ListOf(uint32_t own_millicores = 500) {
  return {{"node-1", "a:1", 900, own_millicores}, kStandbys, kLapse};
}

Instant At(int64_t ms) {
  return Instant(milliseconds(ms));
}

// Replays restarts that roll over all fronts: handed to one that was still to
// be restarted, the lead changed with each of them.
TEST(FrontListTest, StandbyThatStartedLastSucceeds) {
  FrontList fronts = ListOf();
  fronts.Put({"node-1", "a:1", 999, 500}, At(0));
  fronts.Put({"node-2", "a:2", 100, 500}, At(0));
  fronts.Put({"node-3", "a:3", 300, 500}, At(0));
  ASSERT_TRUE(fronts.ChooseSuccessor());
  EXPECT_EQ(fronts.ChooseSuccessor()->node, "node-3");
}

TEST(FrontListTest, OnlyStandbysSucceed) {
  FrontList fronts = ListOf();
  fronts.Put({"node-2", "a:2", 100, 500}, At(0));
  fronts.Put({"node-3", "a:3", 200, 500}, At(0));
  fronts.Put({"node-4", "a:4", 300, 400}, At(0));  // One too many.
  EXPECT_EQ(fronts.ChooseSuccessor()->node, "node-3");
}

TEST(FrontListTest, WeakFrontSucceedsOnlyAmongWeakOnes) {
  FrontList fronts = ListOf();
  fronts.Put({"node-2", "a:2", 300, 69}, At(0));
  EXPECT_EQ(fronts.ChooseSuccessor()->node, "node-2");
  fronts.Put({"node-3", "a:3", 100, 500}, At(0));
  EXPECT_EQ(fronts.ChooseSuccessor()->node, "node-3");
  fronts.Remove("node-3");
  EXPECT_EQ(fronts.ChooseSuccessor()->node, "node-2");
}

TEST(FrontListTest, NobodySucceedsWhereNobodyElseIs) {
  FrontList fronts = ListOf();
  fronts.Put({"node-1", "a:1", 900, 500}, At(0));
  EXPECT_FALSE(fronts.ChooseSuccessor());
  EXPECT_TRUE(fronts.is_alone());
}

// A large deployment once had every front read everything.
TEST(FrontListTest, OnlyTheStrongestAreStandbys) {
  FrontList weak = ListOf(69);
  FrontList strong = ListOf(1000);
  for (int i = 2; i < 60; ++i) {
    const std::string n = std::to_string(i);
    weak.Put({"node-" + n, "a:" + n, 1, 500}, At(0));
    strong.Put({"node-" + n, "a:" + n, 1, 500}, At(0));
  }
  EXPECT_FALSE(weak.IsOwnStandby());
  EXPECT_TRUE(strong.IsOwnStandby());
  EXPECT_EQ(weak.Ranked().size(), 58U);
}

TEST(FrontListTest, SilentFrontsLapseUnlessAllAreSilent) {
  FrontList fronts = ListOf(69);
  for (int i = 2; i < 6; ++i) {
    const std::string n = std::to_string(i);
    fronts.Put({"node-" + n, "a:" + n, 1, 500}, At(0));
  }
  ASSERT_EQ(fronts.OwnRank(), 4U);
  fronts.Put({"node-2", "a:2", 1, 500}, At(kLapse.count() + 1));
  EXPECT_EQ(fronts.OwnRank(), 1U);
  EXPECT_TRUE(fronts.IsOwnStandby());
}

TEST(FrontListTest, RecordsAreReadBack) {
  const FrontRecord record{"node-1", "a:1", 1'800'000'000'000, 69};
  EXPECT_EQ(DecodeFrontRecord(Encode(record)), record);
  EXPECT_FALSE(DecodeFrontRecord("10.0.0.1:1"));
}

}  // namespace
}  // namespace papayadrift::cluster
