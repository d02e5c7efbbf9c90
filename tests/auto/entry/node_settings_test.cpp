#include "entry/node_settings.h"

#include <gtest/gtest.h>

#include "lease/rule.h"
#include "settings/entry_settings.h"

namespace papayadrift::entry {
namespace {

constexpr char kRequired[] =
    "[process]\nname = e\nregion = r\navailability_zone = z\n"
    "http_address = 127.0.0.1:1\nstream_address = 127.0.0.1:2\n"
    "[log]\naddress = 127.0.0.1:3\n";

settings::EntrySettings With(const std::string& text) {
  std::vector<settings::Problem> problems;
  const auto read = settings::ReadEntrySettings(kRequired + text, problems);
  EXPECT_TRUE(read) << (problems.empty() ? "" : problems.front().detail);
  return read.value_or(settings::EntrySettings());
}

std::string KeyOfProblem(const std::string& text) {
  const auto problem = LeaseProblemOf(With(text));
  return problem ? problem->key : "";
}

TEST(NodeSettingsTest, DefaultsOfTheLeaseRuleFitTogether) {
  EXPECT_EQ(KeyOfProblem(""), "");
}

TEST(NodeSettingsTest, DurationsThatDoNotFitTogetherAreRefused) {
  EXPECT_EQ(KeyOfProblem("[lease]\nlength = 1 s\ntail_freshness = 2 s\n"),
            "tail_freshness");
  EXPECT_EQ(KeyOfProblem("[lease]\nrenewal_cap = 4 s\n"), "renewal_cap");
  EXPECT_EQ(KeyOfProblem("[lease]\npause_margin = 0 ms\n"), "pause_margin");
}

// docs/operations/membership.md and docs/CAPACITY.md promise this.
TEST(NodeSettingsTest, SlotsOfALostEntryComeBackWithinFortySeconds) {
  const lease::LeaseSettings lease = LeaseSettingsOf(With(""));
  const Instant lapsed_at(seconds(1000));
  EXPECT_LE(lease::EntryLapseCompleteAt(lapsed_at, lease) - lapsed_at,
            seconds(40));
}

}  // namespace
}  // namespace papayadrift::entry
