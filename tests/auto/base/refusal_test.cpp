#include "base/refusal.h"

#include <gtest/gtest.h>

namespace papayadrift {
namespace {

TEST(RefusalTest, EveryReasonHasANameThatReadsBack) {
  for (const RefusalReason reason : AllRefusalReasons()) {
    EXPECT_EQ(RefusalReasonFromText(ToText(reason)), reason);
  }
}

TEST(RefusalTest, UnknownNameGivesNothing) {
  EXPECT_EQ(RefusalReasonFromText("no_such_reason"), std::nullopt);
}

}  // namespace
}  // namespace papayadrift
