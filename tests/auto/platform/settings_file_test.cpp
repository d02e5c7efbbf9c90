#include "settings_file.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <utility>

namespace papayadrift::platform {
namespace {

constexpr char kText[] = R"(
node_name = "edge-1"
zone = "z"
ip = "10.1.0.13"
internal_ports = [7720, 7735]
unknown = "ignored"
[listen]
frontend = "10.1.0.13:8161"
readiness = "10.1.0.13:8167"
[limits]
cpu_share = 0.25
cores = 2
memory_mb = 160
max_fds = 1024
[bounds]
max_hold_ms = 6000
grace_s = 6.5
status_s = 120
cancel_ms = 4000
[platform]
address = "10.200.1.7:8169"
)";

TEST(SettingsFileTest, ReadsWhatAProcessNeeds) {
  std::vector<SettingsProblem> problems;
  const auto settings = ReadSettings(kText, problems);
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->internal_address, "10.1.0.13:7720");
  EXPECT_EQ(settings->longest_lease, milliseconds(6000));
  EXPECT_EQ(settings->grace, milliseconds(6500));
  EXPECT_EQ(settings->cancellation_limit, milliseconds(4000));
  EXPECT_EQ(settings->service, "");
  EXPECT_TRUE(settings->scarcity.empty());
  EXPECT_DOUBLE_EQ(settings->cores, 0.5);
  EXPECT_EQ(settings->memory_mb, 160);
  EXPECT_EQ(settings->max_fds, 1024);
}

TEST(SettingsFileTest, ReportsEachInvalidKey) {
  std::vector<SettingsProblem> problems;
  EXPECT_FALSE(ReadSettings("node_name = 3\nzone = \"z\"\n", problems));
  EXPECT_TRUE(std::ranges::any_of(problems, [](const SettingsProblem& it) {
    return it.key == "node_name";
  }));
  EXPECT_TRUE(std::ranges::any_of(problems, [](const SettingsProblem& it) {
    return it.key == "bounds.max_hold_ms";
  }));
}

TEST(SettingsFileTest, RefusesABoundInWhichNothingCanStart) {
  std::string text = kText;
  text.replace(text.find("cancel_ms = 4000"), 16, "cancel_ms = 1500");
  std::vector<SettingsProblem> problems;
  EXPECT_FALSE(ReadSettings(text, problems));
  ASSERT_EQ(problems.size(), 1U);
  EXPECT_EQ(problems[0].key, "bounds.cancel_ms");
}

TEST(SettingsFileTest, ReadsTheLimitsOfTheStore) {
  std::vector<SettingsProblem> problems;
  const auto by_default = ReadSettings(kText, problems);
  ASSERT_TRUE(by_default);
  EXPECT_EQ(by_default->store_limits, keyed_log::AppendLimits());
  const auto settings = ReadSettings(std::string(kText) +
                                         "max_record_bytes = 8192\n"
                                         "max_request_bytes = 65536\n",
                                     problems);
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->store_limits, (keyed_log::AppendLimits{8192, 65536}));
  EXPECT_FALSE(
      ReadSettings(std::string(kText) + "max_record_bytes = 100\n", problems));
}

// Guards against a default in place of a value that was set and can't be read.
TEST(SettingsFileTest, ReplacesNoInvalidValueByADefault) {
  for (const auto& [valid, invalid] :
       {std::pair("cancel_ms = 4000", "cancel_ms = \"4 s\""),
        std::pair("cores = 2", "cores = \"2\""),
        std::pair("max_hold_ms = 6000", "max_hold_ms = 1e300"),
        std::pair("7735]", "77350]")}) {
    std::string text = kText;
    text.replace(text.find(valid), std::string(valid).size(), invalid);
    std::vector<SettingsProblem> problems;
    EXPECT_FALSE(ReadSettings(text, problems)) << invalid;
  }
}

TEST(SettingsFileTest, ReadsDecisionsOnScarceCapacity) {
  std::vector<SettingsProblem> problems;
  const auto settings = ReadSettings(
      std::string(kText) +
          "[scheduling]\nscarcity = [\"reservations\", \"turn_order\"]\n",
      problems);
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->scarcity,
            (std::vector<std::string>{"reservations", "turn_order"}));
}

// Guards against a misspelt decision that is off without notice.
TEST(SettingsFileTest, RefusesAnUnknownDecisionOnScarceCapacity) {
  for (const std::string value :
       {"[\"reservation\"]", "\"reservations\"", "[1]"}) {
    std::vector<SettingsProblem> problems;
    EXPECT_FALSE(ReadSettings(
        std::string(kText) + "[scheduling]\nscarcity = " + value + "\n",
        problems));
    ASSERT_EQ(problems.size(), 1U);
    EXPECT_EQ(problems[0].key, "scheduling.scarcity");
  }
}

// Guards against listeners whose bounds follow from limits that make no sense.
TEST(SettingsFileTest, RefusesLimitsOfTheVmThatAreTooLowOrNoNumbers) {
  for (const std::string bad : {"8", "-1", "\"many\"", "99.5", "true"}) {
    for (const auto& [key, line] :
         {std::pair<std::string, std::string>{"memory_mb", "memory_mb = 160"},
          {"max_fds", "max_fds = 1024"}}) {
      std::string text = kText;
      text.replace(text.find(line), line.size(), key);
      text.insert(text.find(key) + key.size(), " = " + bad);
      std::vector<SettingsProblem> problems;
      EXPECT_FALSE(ReadSettings(text, problems)) << key << " = " << bad;
      ASSERT_EQ(problems.size(), 1U);
      EXPECT_EQ(problems[0].key, "limits." + key);
    }
  }
}

TEST(SettingsFileTest, ReportsTheLineOfASyntaxError) {
  std::vector<SettingsProblem> problems;
  EXPECT_FALSE(ReadSettings("a = 1\nb =\n", problems));
  ASSERT_EQ(problems.size(), 1U);
  EXPECT_NE(problems[0].reason.find("Line 2"), std::string::npos);
}

}  // namespace
}  // namespace papayadrift::platform
