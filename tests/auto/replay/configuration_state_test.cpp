#include "replay/configuration_state.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <pcg_random.hpp>
#include <string>
#include <vector>

namespace papayadrift::replay {
namespace {

constexpr Offset kFarOffset(1'000'000);

records::Proposal Propose(uint64_t sequence, records::Record record) {
  return {.id = {.author = EntryId("e1"),
                 .incarnation = Incarnation(1),
                 .sequence = sequence},
          .last_offset = kFarOffset,
          .record = std::move(record)};
}

records::ConfigurationProposed File(uint64_t expected,
                                    const std::string& author) {
  return {.expected = ConfigurationVersion(expected),
          .author = author,
          .text = "text of " + author};
}

ConfigurationVerdict Append(ConfigurationState& state,
                            const records::Proposal& proposal) {
  const Offset offset = state.next_offset();
  const ConfigurationVerdict verdict = state.Apply(offset, proposal);
  state.Complete(offset);
  return verdict;
}

TEST(ConfigurationStateTest, TheFirstWinsAndTheOtherIsToldByWhom) {
  ConfigurationState state(Offset(1));
  EXPECT_EQ(Append(state, Propose(1, File(0, "ana"))),
            ConfigurationVerdict(
                ConfigurationAccepted{.version = ConfigurationVersion(1)}));
  EXPECT_EQ(Append(state, Propose(2, File(0, "bo"))),
            ConfigurationVerdict(ConfigurationConflict{
                .version = ConfigurationVersion(1), .author = "ana"}));
  EXPECT_EQ(Append(state, Propose(1, File(0, "ana"))),
            ConfigurationVerdict(Rejection::kDuplicate));
  EXPECT_EQ(state.in_force().author, "ana");
}

TEST(ConfigurationStateTest, AStaleRepetitionMovesNoJoinerBack) {
  ConfigurationState member(Offset(1));
  Append(member, Propose(1, File(0, "ana")));
  const auto stale = member.Reassertion();
  ConfigurationState joiner(member.next_offset());
  const auto newer = Propose(2, File(1, "bo"));
  Append(member, newer);
  EXPECT_EQ(Append(joiner, newer),
            ConfigurationVerdict(ConfigurationUndecided()));
  EXPECT_EQ(Append(joiner, Propose(3, *stale)),
            ConfigurationVerdict(ConfigurationUndecided()));
  EXPECT_FALSE(joiner.is_replayed_known());
  Append(member, Propose(3, *stale));
  Append(joiner, Propose(4, *member.Reassertion()));
  EXPECT_EQ(joiner.in_force(), member.in_force());
}

TEST(ConfigurationStateTest, APeerNeverTakesAVersionBack) {
  ConfigurationState state(Offset(1));
  Append(state, Propose(1, File(0, "ana")));
  state.Adopt({.version = ConfigurationVersion(7), .author = "bo", .text = "t"},
              Offset(50));
  EXPECT_EQ(state.in_force().version, ConfigurationVersion(7));
  state.Adopt({.version = ConfigurationVersion(3), .author = "c", .text = "t"},
              Offset(60));
  Append(state, Propose(2, File(1, "dee")));
  EXPECT_EQ(state.in_force().version, ConfigurationVersion(7));
  EXPECT_EQ(state.replayed()->version, ConfigurationVersion(2));
}

records::ConfigurationProposed FileFor(uint64_t expected,
                                       std::vector<RegionId> homes,
                                       uint64_t division_digest) {
  records::ConfigurationProposed file = File(expected, "ana");
  file.home_regions = std::move(homes);
  file.division_digest = division_digest;
  return file;
}

TEST(ConfigurationStateTest, HomeRegionsAreWrittenOnce) {
  const std::vector<RegionId> both = {RegionId("north"), RegionId("south")};
  ConfigurationState state(Offset(1));
  Append(state, Propose(1, FileFor(0, both, 1)));
  EXPECT_EQ(Append(state, Propose(2, FileFor(1, {RegionId("north")}, 1))),
            ConfigurationVerdict(Rejection::kHomeRegionsFixed));
  EXPECT_EQ(state.in_force().version, ConfigurationVersion(1));
  // An older process states none.
  Append(state, Propose(3, File(1, "bo")));
  EXPECT_EQ(state.in_force().version, ConfigurationVersion(2));
  EXPECT_EQ(state.in_force().home_regions, both);
}

TEST(ConfigurationStateTest, OfRegionsThatAskTheFirstIsTheOnlyHome) {
  ConfigurationState state(Offset(1));
  Append(state, Propose(1, File(0, "ana")));
  auto north = *state.Reassertion();
  auto south = north;
  north.home_regions = {RegionId("north")};
  south.home_regions = {RegionId("south")};
  Append(state, Propose(2, south));
  Append(state, Propose(3, north));
  EXPECT_EQ(state.in_force().home_regions, south.home_regions);
}

TEST(ConfigurationStateTest, DivisionIsThatOfTheVersionThatChangedIt) {
  const std::vector<RegionId> homes = {RegionId("north")};
  ConfigurationState state(Offset(1));
  const std::vector<uint64_t> digests = {5, 5, 6, 6, 5};
  const std::vector<uint64_t> divisions = {1, 1, 3, 3, 5};
  for (uint64_t i = 0; i < digests.size(); ++i) {
    Append(state, Propose(i + 1, FileFor(i, homes, digests[i])));
    EXPECT_EQ(state.in_force().division, ConfigurationVersion(divisions[i]));
  }
  Append(state, Propose(9, records::DivisionReached{RegionId("north"),
                                                    ConfigurationVersion(3)}));
  Append(state, Propose(10, records::DivisionReached{RegionId("north"),
                                                     ConfigurationVersion(1)}));
  EXPECT_EQ(state.reached().at(RegionId("north")), ConfigurationVersion(3));
}

// Readers that start anywhere, repetitions that come late, and peers.
RC_GTEST_PROP(ConfigurationHistory, EveryReaderRisesToTheSameVersions, ()) {
  pcg32 random(*rc::gen::arbitrary<uint32_t>());
  ConfigurationState first(Offset(1));
  std::vector<ConfigurationState> readers;
  std::vector<records::ConfigurationReasserted> repetitions;
  for (uint64_t i = 1; i < 120; ++i) {
    records::Record record = records::NoOperation();
    if (random(3) == 0) {
      const uint64_t version = first.replayed()->version.value();
      record = File(version - std::min<uint64_t>(version, random(3)),
                    std::to_string(i));
    } else if (!repetitions.empty() && random(2) == 0) {
      const size_t age = random(std::min<size_t>(repetitions.size(), 4));
      record = repetitions[repetitions.size() - 1 - age];
    }
    if (const auto repetition = first.Reassertion()) {
      repetitions.push_back(*repetition);
    }
    if (random(10) == 0) {
      readers.emplace_back(first.next_offset());
    }
    const auto proposal = Propose(i, record);
    const ConfigurationVerdict verdict = Append(first, proposal);
    for (ConfigurationState& reader : readers) {
      const ConfigurationVersion before = reader.in_force().version;
      const bool was_known = reader.is_replayed_known();
      const ConfigurationVerdict own = Append(reader, proposal);
      RC_ASSERT(!was_known || own == verdict);
      if (random(20) == 0) {
        const size_t age = random(repetitions.size() + 1);
        if (age < repetitions.size()) {
          const auto& old = repetitions[age];
          reader.Adopt({.version = old.version,
                        .author = old.author,
                        .text = old.text,
                        .home_regions = old.home_regions,
                        .division_digest = old.division_digest,
                        .division = old.division},
                       old.as_of);
        }
      }
      RC_ASSERT(reader.in_force().version >= before);
      RC_ASSERT(!reader.is_replayed_known() ||
                reader.replayed() == first.replayed());
    }
  }
}

}  // namespace
}  // namespace papayadrift::replay
