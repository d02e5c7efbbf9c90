#include "entry/refusal_response.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace papayadrift::entry {
namespace {

const WallInstant kNow(milliseconds(1000));

TEST(RefusalResponseTest, EveryReasonHasAnErrorStatus) {
  for (const RefusalReason reason : AllRefusalReasons()) {
    EXPECT_GE(StatusOf(reason), 400);
    EXPECT_LT(StatusOf(reason), 600);
  }
}

TEST(RefusalResponseTest, TellsReasonAndWhenToComeBack) {
  const http::Response response =
      ResponseTo({RefusalReason::kOverloaded, Ran::kNo, "Busy.",
                  kNow + milliseconds(1500)},
                 kNow);
  EXPECT_EQ(response.status, 503);
  EXPECT_EQ(response.headers.at("retry-after"), "2");
  const auto body = nlohmann::json::parse(response.body);
  EXPECT_EQ(body["reason"], "overloaded");
  EXPECT_EQ(body["ran"], "no");
  EXPECT_EQ(body["retry_after_ms"], 1500);
}

}  // namespace
}  // namespace papayadrift::entry
