#include "base/resources.h"

#include <gtest/gtest.h>

namespace papayadrift {
namespace {

TEST(ResourcesTest, FitsOnlyWhenEachAmountFits) {
  const Resources available{4000, 1024, 1};
  EXPECT_TRUE(FitsIn({4000, 1024, 1}, available));
  EXPECT_FALSE(FitsIn({4001, 1024, 1}, available));
  EXPECT_FALSE(FitsIn({4000, 1025, 1}, available));
  EXPECT_FALSE(FitsIn({4000, 1024, 2}, available));
}

TEST(ResourcesTest, SubtractionUndoesAddition) {
  const Resources left{100, 20, 3};
  const Resources right{7, 5, 1};
  EXPECT_EQ(left + right - right, left);
}

}  // namespace
}  // namespace papayadrift
