#include "cluster/front_list.h"

#include <gtest/gtest.h>

namespace papayadrift::cluster {
namespace {

// Replays restarts that roll over all fronts: handed to one that was still to
// be restarted, the lead changed with each of them.
TEST(FrontListTest, FrontThatStartedLastSucceeds) {
  FrontList fronts("node-1");
  fronts.Put({"node-1", "a:1", 900, 500});
  fronts.Put({"node-2", "a:2", 100, 500});
  fronts.Put({"node-3", "a:3", 300, 500});
  fronts.Put({"node-4", "a:4", 200, 500});
  ASSERT_TRUE(fronts.ChooseSuccessor());
  EXPECT_EQ(fronts.ChooseSuccessor()->node, "node-3");
}

TEST(FrontListTest, WeakFrontSucceedsOnlyAmongWeakOnes) {
  FrontList fronts("node-1");
  fronts.Put({"node-2", "a:2", 300, 69});
  EXPECT_EQ(fronts.ChooseSuccessor()->node, "node-2");
  fronts.Put({"node-3", "a:3", 100, 500});
  EXPECT_EQ(fronts.ChooseSuccessor()->node, "node-3");
  fronts.Remove("node-3");
  EXPECT_EQ(fronts.ChooseSuccessor()->node, "node-2");
}

TEST(FrontListTest, NobodySucceedsWhereNobodyElseIs) {
  FrontList fronts("node-1");
  fronts.Put({"node-1", "a:1", 900, 500});
  EXPECT_FALSE(fronts.ChooseSuccessor());
}

TEST(FrontListTest, RecordsAreReadBack) {
  const FrontRecord record{"node-1", "a:1", 1'800'000'000'000, 69};
  EXPECT_EQ(DecodeFrontRecord(Encode(record)), record);
  EXPECT_FALSE(DecodeFrontRecord("10.0.0.1:1"));
}

}  // namespace
}  // namespace papayadrift::cluster
