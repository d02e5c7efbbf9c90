#include <gtest/gtest.h>

#include "configuration/configuration_diff.h"
#include "configuration/configuration_reader.h"

namespace papayadrift::configuration {
namespace {

using settings::Problem;
using settings::ProblemKind;

constexpr char kFile[] =
    "[customer retorno-barril]\ntail_latency_weight = 3\n"
    "[team dispatch]\ncustomer = retorno-barril\nquota_cores = 40 cores\n"
    "quota_memory = 100 GiB\n"
    "[service keg-return]\ncustomer = retorno-barril\n"
    "latency_target = 50 ms\nidempotent = yes\n"
    "[job route-run]\nteam = dispatch\nkind = route\ntasks = 3\n"
    "cores = 2 cores\nmemory = 1 GiB\nrun_time = 5 s\n";

std::optional<Configuration> Read(const std::string& text) {
  std::vector<Problem> problems;
  return ReadConfiguration(text, problems);
}

TEST(ConfigurationTest, ReadsWholeFile) {
  const auto configuration = Read(kFile);
  ASSERT_TRUE(configuration);
  const Team* team = FindTeam(*configuration, TeamId("dispatch"));
  ASSERT_NE(team, nullptr);
  EXPECT_EQ(team->quota, (Resources{40'000, 102'400, 0}));
  ASSERT_NE(FindService(*configuration, ServiceId("keg-return")), nullptr);
  EXPECT_EQ(FindService(*configuration, ServiceId("other")), nullptr);
  ASSERT_EQ(configuration->jobs.size(), 1u);
  EXPECT_EQ(configuration->jobs[0].tasks, 3);
}

TEST(ConfigurationTest, ReadsSeparationsOfJobs) {
  const auto plain = Read(kFile);
  ASSERT_TRUE(plain);
  EXPECT_EQ(plain->jobs[0].separation, Separation());
  const auto spread = Read(std::string(kFile) +
                           "most_tasks_per_rack = 2\nmost_tasks_per_zone = 5\n"
                           "apart_from = plan, route\n");
  ASSERT_TRUE(spread);
  const Separation expected = {2, 5, {KindId("plan"), KindId("route")}};
  EXPECT_EQ(spread->jobs[0].separation, expected);
}

TEST(ConfigurationTest, ReferenceToNothingIsRefusedWhole) {
  std::vector<Problem> problems;
  const std::string text = std::string(kFile) +
                           "[service other]\ncustomer = nobody\n"
                           "latency_target = 50 ms\nidempotent = no\n";
  EXPECT_FALSE(ReadConfiguration(text, problems));
  ASSERT_EQ(problems.size(), 1u);
  EXPECT_EQ(problems[0].kind, ProblemKind::kReferenceUnknown);
  EXPECT_EQ(problems[0].section, "service other");
  EXPECT_EQ(problems[0].key, "customer");
}

TEST(ConfigurationTest, CompareNamesEachSectionThatDiffers) {
  Configuration before = *Read(kFile);
  Configuration after = before;
  after.jobs.clear();
  after.services[0].priority = 1;
  after.customers.push_back({CustomerId("banverksgrus"), 1, 3});
  const std::vector<SectionChange> expected = {
      {ChangeKind::kAdded, "customer banverksgrus"},
      {ChangeKind::kRemoved, "job route-run"},
      {ChangeKind::kChanged, "service keg-return"},
  };
  EXPECT_EQ(Compare(before, after), expected);
  EXPECT_TRUE(Compare(before, before).empty());
}

}  // namespace
}  // namespace papayadrift::configuration
