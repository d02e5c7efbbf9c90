#include "base/hash.h"

#include <gtest/gtest.h>

namespace papayadrift {
namespace {

// Processes of different versions must agree on homes, so the value is fixed.
TEST(HashTest, IsTheSameOnEveryMachine) {
  EXPECT_EQ(StableHash(""), 0x2d06800538d394c2ULL);
}

TEST(HashTest, RendezvousWeightDependsOnBothNames) {
  EXPECT_NE(RendezvousWeight("worker-1", "entry-1"),
            RendezvousWeight("worker-1", "entry-2"));
  EXPECT_NE(RendezvousWeight("worker-1", "entry-1"),
            RendezvousWeight("worker-2", "entry-1"));
}

}  // namespace
}  // namespace papayadrift
