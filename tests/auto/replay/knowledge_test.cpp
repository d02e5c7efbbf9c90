#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <msgpack.hpp>
#include <string>

#include "records/codec.h"
#include "replay/decision_state.h"
#include "replay/knowledge_news.h"
#include "replay/knowledge_table.h"
#include "replay/record_builders.h"

namespace papayadrift::replay {
namespace {

using records::KnowledgeNoted;

records::KindKnowledge Kind(const std::string& kind,
                            uint32_t reports,
                            int64_t mean) {
  return {KindId(kind),
          {reports, mean, 10, 2 * mean},
          {reports, 64, 1, 65},
          {},
          100,
          0};
}

KnowledgeNoted Note(const std::string& name, uint32_t reports, int64_t mean) {
  KnowledgeNoted note;
  note.kinds = {Kind(name, reports, mean)};
  note.neighbours = {KindId(name)};
  note.services = {{ServiceId("s" + name), {{0, 2, 5, 400}, {1, 1, 7, 300}}}};
  return note;
}

bool Never(const std::string& /*name*/) {
  return false;
}

bool Always(const std::string& /*name*/) {
  return true;
}

TEST(KnowledgeTableTest, KeepsOneNoteOfEachUnlessItKnowsMuchLess) {
  KnowledgeTable table;
  table.Apply(Offset(1), Note("k", 100, 500));
  table.Apply(Offset(2), Note("k", 49, 900));
  EXPECT_EQ(table.kinds().at(KindId("k")).knowledge.millicores.mean, 500);
  table.Apply(Offset(3), Note("k", 50, 900));
  EXPECT_EQ(table.kinds().at(KindId("k")).knowledge.millicores.mean, 900);
  EXPECT_EQ(table.kinds().size(), 1U);
}

TEST(KnowledgeTableTest, CoefficientThatIsMuchLessSureIsIgnored) {
  KnowledgeTable table;
  KnowledgeNoted note = Note("k", 100, 500);
  table.Apply(Offset(1), note);
  note.services[0].coefficients = {{0, 2, 77, 801}, {1, 1, 78, 600}};
  table.Apply(Offset(2), note);
  const auto& kept = table.services().at(ServiceId("sk")).coefficients;
  EXPECT_EQ(kept.at({KindId(), 2}).mean, 5);
  EXPECT_EQ(kept.at({KindId("k"), 1}).mean, 78);
}

TEST(KnowledgeTableTest, ForgetsWhatWasNotNotedForLongest) {
  KnowledgeTable table;
  for (uint64_t i = 0; i < 600; ++i) {
    table.Apply(Offset(i + 1), Note(std::to_string(i), 100, 500));
  }
  EXPECT_EQ(table.kinds().size(), KnowledgeTable::kMaximumKinds);
  EXPECT_EQ(table.services().size(), KnowledgeTable::kMaximumServices);
  EXPECT_TRUE(table.kinds().contains(KindId("599")));
  EXPECT_FALSE(table.kinds().contains(KindId("0")));
}

TEST(KnowledgeTableTest, NonsenseIsMalformed) {
  const KnowledgeTable table;
  EXPECT_EQ(table.Check(Note("k", 300, 500)), std::nullopt);
  const auto refuses = [&](auto change) {
    KnowledgeNoted note = Note("k", 300, 500);
    change(note);
    return table.Check(note) == Rejection::kMalformed;
  };
  EXPECT_TRUE(refuses([](auto& it) { it.kinds[0].kind = KindId(); }));
  EXPECT_TRUE(refuses([](auto& it) { it.kinds[0].millicores.mean = -1; }));
  EXPECT_TRUE(refuses([](auto& it) { it.kinds[0].millicores.reports = 9999; }));
  EXPECT_TRUE(refuses([](auto& it) { it.kinds[0].saturated_permille = 1001; }));
  EXPECT_TRUE(refuses([](auto& it) { it.neighbours.clear(); }));
  EXPECT_TRUE(refuses([](auto& it) { it.neighbours[0] = KindId(); }));
  EXPECT_TRUE(refuses([](auto& it) { it.kinds.resize(65, it.kinds[0]); }));
  EXPECT_TRUE(
      refuses([](auto& it) { it.services.resize(17, it.services[0]); }));
  EXPECT_TRUE(
      refuses([](auto& it) { it.services[0].coefficients[0].deviation = 0; }));
  EXPECT_TRUE(
      refuses([](auto& it) { it.services[0].coefficients[0].power = 3; }));
  EXPECT_TRUE(
      refuses([](auto& it) { it.services[0].coefficients[1].power = 2; }));
}

TEST(KnowledgeTableTest, OnlyMembersNote) {
  DecisionState state;
  const records::Proposal proposal = {
      {EntryId("stranger"), Incarnation(1), 1}, Offset(9), Note("k", 1, 1)};
  EXPECT_EQ(state.Apply(Offset(1), 0, proposal).rejection(),
            Rejection::kAuthorNotMember);
}

RC_GTEST_PROP(KnowledgeTableTest, RepeatedNotesAreNoNews, ()) {
  KnowledgeTable table;
  const auto numbers = *rc::gen::container<std::vector<uint32_t>>(
      20, rc::gen::inRange(0U, 1'000'000U));
  uint64_t offset = 0;
  for (const uint32_t number : numbers) {
    const KnowledgeNoted note =
        Note(std::to_string(number % 5), number % 301, number);
    RC_ASSERT(!table.Check(note));
    table.Apply(Offset(++offset), note);
    const KnowledgeNoted once = table.All();
    table.Apply(Offset(offset), note);
    RC_ASSERT(table.All() == once);
    KnowledgeTable copy;
    copy.Apply(Offset(1), once);
    RC_ASSERT(copy.All() == once);
  }
}

TEST(KnowledgeNewsTest, OnlyWhatIsNewOrKnownTwiceAsWell) {
  KnowledgeTable table;
  const KnowledgeNoted note = Note("k", 100, 500);
  EXPECT_EQ(NewsIn(note, table, Never).kinds.size(), 1U);
  table.Apply(Offset(1), note);
  const KnowledgeNoted none = NewsIn(note, table, Never);
  EXPECT_TRUE(none.kinds.empty());
  EXPECT_TRUE(none.services.empty());
  EXPECT_TRUE(Cut(none).empty());
  EXPECT_EQ(NewsIn(Note("k", 200, 500), table, Never).kinds.size(), 1U);
  EXPECT_EQ(NewsIn(note, table, Always), note);
}

TEST(KnowledgeNewsTest, RecordsAreSmallEnough) {
  KnowledgeNoted note = Note("k", 100, 500);
  note.kinds.resize(150, note.kinds[0]);
  note.services.resize(50, note.services[0]);
  const KnowledgeTable table;
  size_t kinds = 0;
  size_t services = 0;
  for (const KnowledgeNoted& record : Cut(note)) {
    EXPECT_EQ(table.Check(record), std::nullopt);
    kinds += record.kinds.size();
    services += record.services.size();
  }
  EXPECT_EQ(kinds, 150U);
  EXPECT_EQ(services, 50U);
}

// Writes a snapshot as it was before knowledge was kept: without the last
// member of the state.
std::string OlderForm(const std::string& snapshot) {
  const msgpack::object_handle handle =
      msgpack::unpack(snapshot.data(), snapshot.size());
  msgpack::object whole = handle.get();
  --whole.via.array.ptr[0].via.array.size;
  msgpack::sbuffer buf;
  msgpack::pack(buf, whole);
  return {buf.data(), buf.size()};
}

TEST(SnapshotTest, OneFromBeforeKnowledgeWasKeptReadsBack) {
  DecisionState state;
  const records::Proposal joined = {
      {EntryId("e"), Incarnation(1), 1},
      Offset(9),
      test::OfEntry<records::EntryJoined>("e", 1)};
  ASSERT_TRUE(state.Apply(Offset(1), 0, joined).is_accepted());
  state.Complete(Offset(1));
  const auto restored = DecisionState::Restore(OlderForm(state.Snapshot()));
  ASSERT_TRUE(restored);
  EXPECT_EQ(*restored, state);
  const records::Proposal noted = {
      {EntryId("e"), Incarnation(1), 2}, Offset(9), Note("k", 100, 500)};
  ASSERT_TRUE(state.Apply(Offset(2), 0, noted).is_accepted());
  state.Complete(Offset(2));
  EXPECT_EQ(DecisionState::Restore(state.Snapshot()), state);
  const auto older = DecisionState::Restore(OlderForm(state.Snapshot()));
  ASSERT_TRUE(older);
  EXPECT_TRUE(older->knowledge().kinds().empty());
}

}  // namespace
}  // namespace papayadrift::replay
