#include "settings/entry_settings.h"

#include <gtest/gtest.h>

#include "settings/guard_settings.h"

namespace papayadrift::settings {
namespace {

constexpr char kMinimal[] =
    "[process]\nname = e1\nregion = r\navailability_zone = a\n"
    "http_address = 127.0.0.1:8001\nstream_address = 127.0.0.1:8002\n"
    "[log]\naddress = 127.0.0.1:8000\n";

TEST(EntrySettingsTest, MinimalFileGetsFallbacks) {
  std::vector<Problem> problems;
  const auto settings = ReadEntrySettings(kMinimal, problems);
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->entry, EntryId("e1"));
  EXPECT_EQ(settings->lease_length, seconds(10));
  EXPECT_TRUE(settings->peer_addresses.empty());
}

TEST(EntrySettingsTest, MissingLogIsRefused) {
  std::vector<Problem> problems;
  const std::string text(kMinimal);
  EXPECT_FALSE(ReadEntrySettings(text.substr(0, text.find("[log]")), problems));
  ASSERT_EQ(problems.size(), 1u);
  EXPECT_EQ(problems[0].kind, ProblemKind::kSectionMissing);
}

TEST(GuardSettingsTest, ReadsWholeFile) {
  std::vector<Problem> problems;
  const auto settings = ReadGuardSettings(
      "[process]\nworker = w1\navailability_zone = a\n"
      "http_address = 127.0.0.1:9001\n"
      "[backend]\naddress = 127.0.0.1:9002\nslots = 4\n",
      problems);
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->slots, 4);
}

}  // namespace
}  // namespace papayadrift::settings
