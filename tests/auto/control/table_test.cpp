#include "control/table.h"

#include <gtest/gtest.h>

namespace papayadrift::control {
namespace {

TEST(TableTest, AlignsColumns) {
  Table table({"A", "LONG"});
  table.AddRow({"value", "x"});
  EXPECT_EQ(table.ToText(), "A      LONG\nvalue  x\n");
}

TEST(TableTest, AgesUseTheLargestUnitWithTwoOfIt) {
  EXPECT_EQ(AgeText(1999), "1999 ms");
  EXPECT_EQ(AgeText(2000), "2 s");
  EXPECT_EQ(AgeText(120'000), "2 min");
  EXPECT_EQ(AgeText(7'200'000), "2 h");
}

}  // namespace
}  // namespace papayadrift::control
