#include "configuration/home_region.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <numeric>
#include <string>

#include "configuration/configuration_reader.h"
#include "configuration/quota_division.h"

namespace papayadrift::configuration {
namespace {

using settings::Problem;
using settings::ProblemKind;

const RegionId kNorth("north");
const RegionId kSouth("south");

std::vector<Problem> ProblemsOf(const std::string& text) {
  std::vector<Problem> problems;
  EXPECT_FALSE(ReadConfiguration(text, problems));
  return problems;
}

TEST(HomeRegionTest, AnIdThatNamesARegionBelongsThereWhateverTheFileSays) {
  for (const HomeRegions& known :
       {HomeRegions(), HomeRegions{kNorth}, HomeRegions{kNorth, kSouth}}) {
    EXPECT_EQ(HomeRegionOf("plan@south", known), kSouth);
    EXPECT_EQ(HomeRegionOf("a@north@south", known), kSouth);
  }
  EXPECT_EQ(WithoutRegion("plan@south"), "plan");
  EXPECT_EQ(WithoutRegion("plan"), "plan");
}

TEST(HomeRegionTest, AnUnmarkedIdHasNoHomeUntilTheHomeRegionsAreKnown) {
  EXPECT_EQ(HomeRegionOf("plan", {}), std::nullopt);
  EXPECT_EQ(HomeRegionOf("plan", {kNorth}), kNorth);
}

TEST(HomeRegionTest, OrderOfRegionsDoesNotMatterAndAllGetTheirPart) {
  const HomeRegions regions = {RegionId("a"), RegionId("b"), RegionId("c"),
                               RegionId("d"), RegionId("e")};
  HomeRegions reversed = regions;
  std::ranges::reverse(reversed);
  std::map<RegionId, int> counts;
  for (int i = 0; i < 5000; ++i) {
    const std::string id = "job-" + std::to_string(i);
    const auto home = HomeRegionOf(id, regions);
    ASSERT_TRUE(home);
    EXPECT_EQ(home, HomeRegionOf(id, reversed));
    ++counts[*home];
  }
  for (const RegionId& region : regions) {
    EXPECT_NEAR(counts[region], 1000, 200) << region.text();
  }
}

TEST(HomeRegionTest, FileStatesHomesWeightsAndAddresses) {
  std::vector<Problem> problems;
  const auto file = ReadConfiguration(
      "[customer c]\n[region south]\naddress = 10.0.0.2:80\n"
      "[region north]\nquota_weight = 3\n[region west]\nhome = no\n",
      problems);
  ASSERT_TRUE(file);
  EXPECT_EQ(StatedHomeRegions(*file), (HomeRegions{kNorth, kSouth}));
  EXPECT_EQ(FindRegion(*file, kNorth)->quota_weight, 3);
  EXPECT_EQ(FindRegion(*file, kSouth)->address, "10.0.0.2:80");
}

TEST(HomeRegionTest, FileWithoutAnyHomeOrWithAJobOfNoRegionIsRefused) {
  const auto homeless = ProblemsOf("[customer c]\n[region north]\nhome = no\n");
  ASSERT_EQ(homeless.size(), 1u);
  EXPECT_EQ(homeless[0].section, "region north");
  EXPECT_EQ(homeless[0].key, "home");
  const std::string job =
      "[customer c]\n[team t]\ncustomer = c\nquota_cores = 1 cores\n"
      "quota_memory = 1 GiB\n[job plan@south]\nteam = t\nkind = k\n"
      "cores = 1 cores\nmemory = 1 GiB\nrun_time = 5 s\n";
  const auto nowhere = ProblemsOf(job + "[region north]\n");
  ASSERT_EQ(nowhere.size(), 1u);
  EXPECT_EQ(nowhere[0].kind, ProblemKind::kReferenceUnknown);
  EXPECT_EQ(nowhere[0].section, "job plan@south");
  std::vector<Problem> problems;
  EXPECT_TRUE(
      ReadConfiguration(job + "[region north]\n[region south]\n", problems));
  EXPECT_FALSE(ProblemsOf("[customer c]\n[job @south]\n").empty());
}

TEST(HomeRegionTest, AFileWithoutRegionsIsForOneRegion) {
  const Configuration none;
  EXPECT_EQ(HomeRegionsToPropose(none, {}, kNorth), HomeRegions{kNorth});
  EXPECT_EQ(HomeRegionsToPropose(none, {kNorth}, kSouth), HomeRegions{kNorth});
  const std::vector<Team> teams = {
      {TeamId("t"), CustomerId("c"), Resources{1000, 10, 1}}};
  Configuration file;
  file.teams = teams;
  EXPECT_EQ(QuotaSharesOf(file, {kNorth}, kNorth).at(TeamId("t")),
            teams[0].quota);
  EXPECT_EQ(QuotaSharesOf(file, {kNorth}, kSouth).at(TeamId("t")), Resources());
  EXPECT_EQ(QuotaHolders(file, {kNorth}), HomeRegions{kNorth});
}

RC_GTEST_PROP(QuotaShares, AddUpToTheQuota, ()) {
  const auto amount = [] { return *rc::gen::inRange<int64_t>(0, 1'000'000); };
  Configuration file;
  const int count = *rc::gen::inRange(1, 8);
  for (int i = 0; i < count; ++i) {
    file.regions.push_back({RegionId(std::to_string(i)), "",
                            *rc::gen::inRange<int64_t>(1, 1000), true});
  }
  const Resources quota{amount(), amount(), *rc::gen::inRange<int64_t>(0, 9)};
  const int64_t total =
      std::accumulate(file.regions.begin(), file.regions.end(), int64_t{0},
                      [](int64_t sum, const Region& region) {
                        return sum + region.quota_weight;
                      });
  file.teams = {{TeamId("t"), CustomerId("c"), quota}};
  Resources sum;
  for (const Region& region : file.regions) {
    const Resources share =
        QuotaSharesOf(file, {}, region.region).at(TeamId("t"));
    RC_ASSERT(IsNonNegative(share));
    RC_ASSERT(std::abs(share.millicores * total -
                       quota.millicores * region.quota_weight) <= total);
    sum = sum + share;
  }
  RC_ASSERT(sum == quota);
  RC_ASSERT(QuotaSharesOf(file, {}, kNorth).at(TeamId("t")) == Resources());
}

}  // namespace
}  // namespace papayadrift::configuration
