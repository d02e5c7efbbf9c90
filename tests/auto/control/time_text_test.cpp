#include "control/time_text.h"

#include <gtest/gtest.h>

namespace papayadrift::control {
namespace {

constexpr int64_t kSomeTime = 1'764'840'600'250;  // 2025-12-04 09:30 UTC.

TEST(TimeTextTest, WritesUtc) {
  EXPECT_EQ(TimeText(WallInstant(milliseconds(kSomeTime))),
            "2025-12-04T09:30:00.250Z");
}

TEST(TimeTextTest, ReadsUtcAndUnixTimeAndNothingElse) {
  const WallInstant whole(milliseconds(kSomeTime / 1000 * 1000));
  EXPECT_EQ(TimeFromText("2025-12-04T09:30:00Z"), whole);
  EXPECT_EQ(TimeFromText(std::to_string(kSomeTime / 1000 * 1000)), whole);
  for (const char* text :
       {"", "yesterday", "2025-12-04", "2025-12-04T09:30:00Zz", "-1",
        "2025-13-04T09:30:00Z"}) {
    EXPECT_EQ(TimeFromText(text), std::nullopt) << text;
  }
}

}  // namespace
}  // namespace papayadrift::control
