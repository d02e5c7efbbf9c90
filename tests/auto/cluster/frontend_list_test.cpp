#include "cluster/frontend_list.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace papayadrift::cluster {
namespace {

constexpr size_t kStandbys = 3;
constexpr milliseconds kTimeout(30000);

FrontendList ListOf(uint32_t own_millicores = 500) {
  return {{"node-1", "a:1", 900, own_millicores}, kStandbys, kTimeout};
}

Instant At(int64_t ms) {
  return Instant(milliseconds(ms));
}

// Guards against a change of leader with every step of a rolling restart: the
// leader named a successor that was still to be restarted.
TEST(FrontendListTest, SuccessorIsLatestStartedStandby) {
  FrontendList frontends = ListOf();
  frontends.Put({"node-1", "a:1", 999, 500}, At(0));
  frontends.Put({"node-2", "a:2", 100, 500}, At(0));
  frontends.Put({"node-3", "a:3", 300, 500}, At(0));
  ASSERT_TRUE(frontends.ChooseSuccessor());
  EXPECT_EQ(frontends.ChooseSuccessor()->node, "node-3");
}

TEST(FrontendListTest, SuccessorIsAStandby) {
  FrontendList frontends = ListOf();
  frontends.Put({"node-2", "a:2", 100, 500}, At(0));
  frontends.Put({"node-3", "a:3", 200, 500}, At(0));
  // Exceeds the number of standbys.
  frontends.Put({"node-4", "a:4", 300, 400}, At(0));
  EXPECT_EQ(frontends.ChooseSuccessor()->node, "node-3");
}

// Guards against a topic that grows with each VM that is replaced.
TEST(FrontendListTest, TellsWhichAnnouncementsAreLeftBehind) {
  FrontendList frontends = ListOf();
  frontends.Put({"node-2", "a:2", 100, 500}, At(0));
  frontends.Put({"node-3", "a:3", 100, 500}, At(0));
  frontends.Put({"node-4", "a:4", 100, 500}, At(30'000));
  EXPECT_TRUE(frontends.TimedOut(9).empty());
  frontends.Put({"node-4", "a:4", 100, 500}, At(30'001));
  EXPECT_EQ(frontends.TimedOut(9),
            (std::vector<std::string>{"node-2", "node-3"}));
  EXPECT_EQ(frontends.TimedOut(1), std::vector<std::string>{"node-2"});
  frontends.Remove("node-2");
  frontends.Put({"node-3", "a:3", 100, 500}, At(30'002));
  EXPECT_TRUE(frontends.TimedOut(9).empty());
}

TEST(FrontendListTest, SmallVmSucceedsOnlyAmongSmallVms) {
  FrontendList frontends = ListOf();
  frontends.Put({"node-2", "a:2", 300, 69}, At(0));
  EXPECT_EQ(frontends.ChooseSuccessor()->node, "node-2");
  frontends.Put({"node-3", "a:3", 100, 500}, At(0));
  EXPECT_EQ(frontends.ChooseSuccessor()->node, "node-3");
  frontends.Remove("node-3");
  EXPECT_EQ(frontends.ChooseSuccessor()->node, "node-2");
}

TEST(FrontendListTest, OnlySmallVmsHandOverToLargerOnes) {
  FrontendList small = ListOf(69);
  FrontendList large = ListOf(500);
  EXPECT_TRUE(small.LargerLeaders().empty());
  for (FrontendList* frontends : {&small, &large}) {
    frontends->Put({"node-2", "a:2", 100, 69}, At(0));
    frontends->Put({"node-3", "a:3", 100, 500}, At(0));
  }
  ASSERT_EQ(small.LargerLeaders().size(), 1U);
  EXPECT_EQ(small.LargerLeaders()[0].node, "node-3");
  EXPECT_TRUE(large.LargerLeaders().empty());
}

TEST(FrontendListTest, NoSuccessorWithoutPeers) {
  FrontendList frontends = ListOf();
  frontends.Put({"node-1", "a:1", 900, 500}, At(0));
  EXPECT_FALSE(frontends.ChooseSuccessor());
  EXPECT_TRUE(frontends.has_no_peers());
}

// Guards against every frontend of a large deployment reading everything that
// is stored.
TEST(FrontendListTest, LargestVmsAreStandbys) {
  FrontendList small = ListOf(69);
  FrontendList large = ListOf(1000);
  for (int i = 2; i < 60; ++i) {
    const std::string n = std::to_string(i);
    small.Put({"node-" + n, "a:" + n, 1, 500}, At(0));
    large.Put({"node-" + n, "a:" + n, 1, 500}, At(0));
  }
  EXPECT_FALSE(small.IsOwnStandby());
  EXPECT_TRUE(large.IsOwnStandby());
  EXPECT_EQ(small.Ranked().size(), 58U);
}

TEST(FrontendListTest, SilentFrontendTimesOutUnlessAllAreSilent) {
  FrontendList frontends = ListOf(69);
  for (int i = 2; i < 6; ++i) {
    const std::string n = std::to_string(i);
    frontends.Put({"node-" + n, "a:" + n, 1, 500}, At(0));
  }
  ASSERT_EQ(frontends.OwnRank(), 4U);
  frontends.Put({"node-2", "a:2", 1, 500}, At(kTimeout.count() + 1));
  EXPECT_EQ(frontends.OwnRank(), 1U);
  EXPECT_TRUE(frontends.IsOwnStandby());
}

TEST(FrontendListTest, RecordsAreReadBack) {
  const FrontendRecord record{"node-1", "a:1", 1'800'000'000'000, 69};
  EXPECT_EQ(DecodeFrontendRecord(Encode(record)), record);
  EXPECT_FALSE(DecodeFrontendRecord("10.0.0.1:1"));
}

}  // namespace
}  // namespace papayadrift::cluster
