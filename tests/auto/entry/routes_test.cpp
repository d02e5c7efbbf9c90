#include "entry/routes.h"

#include <gtest/gtest.h>

namespace papayadrift::entry {
namespace {

TEST(RoutesTest, FindsRouteAndName) {
  const auto match = FindRoute("POST", "/v1/services/keg-check/requests");
  ASSERT_TRUE(match);
  EXPECT_EQ(match->route->id, RouteId::kRequest);
  EXPECT_EQ(match->name, "keg-check");
}

TEST(RoutesTest, RefusesWhatOnlyLooksLikeARoute) {
  EXPECT_FALSE(FindRoute("GET", "/v1/services/keg-check/requests"));
  EXPECT_FALSE(FindRoute("POST", "/v1/services//requests"));
  EXPECT_FALSE(FindRoute("POST", "/v1/services/a/b/requests"));
  EXPECT_FALSE(FindRoute("GET", "/v1/jobs/"));
  EXPECT_FALSE(FindRoute("GET", ""));
}

TEST(RoutesTest, OnlyReadinessIsOpenToEveryone) {
  for (const Route& route : AllRoutes()) {
    EXPECT_EQ(route.role.has_value(), route.id != RouteId::kReadiness);
  }
}

}  // namespace
}  // namespace papayadrift::entry
