#include "cluster/leader_term.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/cluster_metrics.h"
#include "cluster/topics.h"
#include "jobs/codec.h"
#include "process_fixture.h"

namespace papayadrift::cluster {
namespace {

// A term whose callbacks are counted.
struct Candidate {
  std::shared_ptr<LeaderTerm> term;
  int elected_count = 0;
  int ended_count = 0;
};

class LeaderTermTest : public ProcessFixture {
 protected:
  std::unique_ptr<Candidate> MakeCandidate() {
    auto candidate = std::make_unique<Candidate>();
    candidate->term = std::make_shared<LeaderTerm>(
        context(), cluster_metrics_,
        [it = candidate.get()] { ++it->elected_count; },
        [it = candidate.get()] { ++it->ended_count; });
    return candidate;
  }
  // A candidate that has been elected.
  std::unique_ptr<Candidate> MakeElected() {
    auto candidate = MakeCandidate();
    candidate->term->Campaign(Record("node-1", 1), 0);
    log_.Settle();
    EXPECT_TRUE(candidate->term->is_elected());
    return candidate;
  }
  static jobs::LeaderRecord Record(const std::string& node, uint64_t term) {
    return {term, node, "127.0.0.1:1"};
  }

  // Returns all that a topic holds.
  std::vector<keyed_log::Record> Stored(const std::string& topic) {
    std::vector<keyed_log::Record> records;
    log_.Read(
        topic, 0, milliseconds(0), Instant(),
        [&](const keyed_log::ReadResult& result) {
          for (const auto& it : std::get<keyed_log::Records>(result).records) {
            records.push_back(it.record);
          }
        });
    log_.Settle();
    return records;
  }

  static constexpr milliseconds kAnswerTime{70};
  ClusterMetrics cluster_metrics_{metrics_};
};

// Guards against two leaders: the store took the second candidacy for a repeat
// of the first.
TEST_F(LeaderTermTest, OneOfTwoCandidatesIsElected) {
  const auto first = MakeCandidate();
  const auto second = MakeCandidate();
  first->term->Campaign(Record("node-1", 1), 0);
  second->term->Campaign(Record("node-2", 1), 0);
  log_.Settle();
  EXPECT_EQ(first->elected_count, 1);
  EXPECT_EQ(second->elected_count, 0);
  EXPECT_EQ(second->ended_count, 1);
  EXPECT_FALSE(second->term->is_elected());
  EXPECT_EQ(Stored(kProgressTopic).size(), 1U);
}

// Guards against a candidate that takes over from what it has not read.
TEST_F(LeaderTermTest, CandidateThatHasNotReadEverythingIsNotElected) {
  log_.Write({kProgressTopic, {{"o/a", "x"}}, std::nullopt, std::nullopt}, {},
             [](const keyed_log::AppendResult&) {});
  const auto candidate = MakeCandidate();
  candidate->term->Campaign(Record("node-1", 1), 0);
  log_.Settle();
  EXPECT_EQ(candidate->elected_count, 0);
  EXPECT_EQ(candidate->ended_count, 1);
}

TEST_F(LeaderTermTest, UnansweredCandidacyIsRepeated) {
  const auto candidate = MakeCandidate();
  log_.set_loses_answers(true);
  candidate->term->Campaign(Record("node-1", 1), 0);
  log_.AnswerNext();  // It is stored.
  log_.set_loses_answers(false);
  log_.Settle();
  EXPECT_EQ(candidate->elected_count, 1);
  EXPECT_EQ(candidate->ended_count, 0);
  EXPECT_EQ(Stored(kProgressTopic).size(), 1U);
}

// Guards against a candidacy that goes on for ever: the frontend follows no
// other leader meanwhile.
TEST_F(LeaderTermTest, CandidacyIsRepeatedTwiceAtMost) {
  const auto candidate = MakeCandidate();
  log_.set_loses_answers(true);
  candidate->term->Campaign(Record("node-1", 1), 0);
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(candidate->ended_count, 0);
    log_.AnswerNext();
  }
  EXPECT_EQ(candidate->ended_count, 1);
  EXPECT_EQ(candidate->elected_count, 0);
  EXPECT_EQ(log_.append_count(), 3U);
}

TEST_F(LeaderTermTest, AddressIsPublishedUntilItIsStored) {
  const auto candidate = MakeCandidate();
  candidate->term->Campaign(Record("node-1", 1), 0);
  log_.AnswerNext();  // The candidacy.
  log_.set_is_down(true);
  log_.AnswerNext();
  log_.set_is_down(false);
  EXPECT_TRUE(Stored(kLeaderTopic).empty());
  ASSERT_GT(loop_.run_one_for(seconds(10)), 0U);
  const auto records = Stored(kLeaderTopic);
  ASSERT_EQ(records.size(), 1U);
  EXPECT_EQ(jobs::Decode<jobs::LeaderRecord>(records[0].value),
            Record("node-1", 1));
}

// Guards against a leader that goes on beside the next one.
TEST_F(LeaderTermTest, FencedAppendEndsTheTerm) {
  const auto first = MakeElected();
  const auto second = MakeCandidate();
  second->term->Campaign(Record("node-2", 2), 1);
  log_.Settle();
  ASSERT_EQ(second->elected_count, 1);
  const Instant confirmed_at = first->term->confirmed_at();
  int stored_count = 0;
  clock_.Advance(kAnswerTime);
  first->term->Append({{"o/a", "x"}}, [&] { ++stored_count; });
  // Not all calls: those of a term that went on would have no end.
  log_.AnswerNext();
  EXPECT_EQ(first->ended_count, 1);
  EXPECT_TRUE(first->term->has_ended());
  EXPECT_EQ(stored_count, 0);
  EXPECT_EQ(first->term->confirmed_at(), confirmed_at);
  EXPECT_FALSE(second->term->has_ended());
}

// Guards against changes that are stored twice, and with the repeat after
// those of a later append.
TEST_F(LeaderTermTest, UnansweredAppendIsRepeatedUnderItsNumber) {
  const auto elected = MakeElected();
  int stored_count = 0;
  log_.set_loses_answers(true);
  elected->term->Append({{"o/a", "x"}}, [&] { ++stored_count; });
  log_.AnswerNext();
  log_.AnswerNext();
  EXPECT_EQ(stored_count, 0);
  EXPECT_TRUE(elected->term->is_appending());
  log_.set_loses_answers(false);
  log_.AnswerNext();
  EXPECT_EQ(stored_count, 1);
  EXPECT_FALSE(elected->term->is_appending());
  EXPECT_EQ(Stored(kProgressTopic).size(), 2U);  // With the candidacy.
  // The number after it is the next one that the store takes.
  elected->term->Append({{"o/b", "x"}}, [&] { ++stored_count; });
  log_.Settle();
  EXPECT_EQ(stored_count, 2);
  EXPECT_EQ(elected->ended_count, 0);
  EXPECT_EQ(Stored(kProgressTopic).size(), 3U);
}

// Guards against a leader that calls a store which is out without a pause.
TEST_F(LeaderTermTest, RefusedAppendIsRepeatedAfterADelay) {
  const auto elected = MakeElected();
  int stored_count = 0;
  log_.set_is_down(true);
  elected->term->Append({{"o/a", "x"}}, [&] { ++stored_count; });
  const size_t begun = log_.append_count();
  log_.AnswerNext();
  EXPECT_EQ(log_.append_count(), begun);
  EXPECT_TRUE(elected->term->is_appending());
  ASSERT_GT(loop_.run_one_for(seconds(10)), 0U);
  EXPECT_EQ(log_.append_count(), begun + 1);
  log_.set_is_down(false);
  log_.Settle();
  EXPECT_EQ(stored_count, 1);
  EXPECT_EQ(elected->ended_count, 0);
}

// Guards against leases of two leaders that overlap: the next one may have been
// elected since the append was sent.
TEST_F(LeaderTermTest, ConfirmationIsTheStartOfTheStoredAppend) {
  const auto candidate = MakeCandidate();
  const Instant campaigned_at = clock_.Now();
  candidate->term->Campaign(Record("node-1", 1), 0);
  clock_.Advance(kAnswerTime);
  log_.Settle();
  EXPECT_EQ(candidate->term->confirmed_at(), campaigned_at);
  clock_.Advance(kAnswerTime);
  const Instant appended_at = clock_.Now();
  candidate->term->Append({{"o/a", "x"}}, [] {});
  clock_.Advance(kAnswerTime);
  EXPECT_EQ(candidate->term->confirmed_at(), campaigned_at);
  log_.Settle();
  EXPECT_EQ(candidate->term->confirmed_at(), appended_at);
}

// Guards against leases granted after the last record of this leader, from
// which the next one counts them: the first try may have been stored.
TEST_F(LeaderTermTest, RepeatConfirmsTheTermAsOfTheFirstTry) {
  const auto elected = MakeElected();
  const Instant begun_at = clock_.Now();
  log_.set_loses_answers(true);
  elected->term->Append({{"o/a", "x"}}, [] {});
  clock_.Advance(kAnswerTime);
  log_.AnswerNext();
  log_.set_loses_answers(false);
  clock_.Advance(kAnswerTime);
  log_.Settle();
  EXPECT_EQ(elected->term->confirmed_at(), begun_at);
}

TEST_F(LeaderTermTest, RepeatedCandidacyConfirmsTheTermAsOfTheFirstTry) {
  const auto candidate = MakeCandidate();
  const Instant begun_at = clock_.Now();
  log_.set_loses_answers(true);
  candidate->term->Campaign(Record("node-1", 1), 0);
  clock_.Advance(kAnswerTime);
  log_.AnswerNext();
  log_.set_loses_answers(false);
  clock_.Advance(kAnswerTime);
  log_.Settle();
  EXPECT_TRUE(candidate->term->is_elected());
  EXPECT_EQ(candidate->term->confirmed_at(), begun_at);
}

TEST_F(LeaderTermTest, HeartbeatsAreNumbered) {
  const auto elected = MakeElected();
  for (uint64_t i = 1; i <= 2; ++i) {
    const keyed_log::Record heartbeat = elected->term->NextHeartbeat();
    EXPECT_EQ(heartbeat.key, kLeaderKey);
    const auto record = jobs::Decode<jobs::LeaderRecord>(heartbeat.value);
    ASSERT_TRUE(record);
    EXPECT_EQ(record->term, 1U);
    EXPECT_EQ(record->heartbeats, i);
  }
}

// Guards against a resignation that reaches the store before the append in
// flight: the store refused the later one of the two.
TEST_F(LeaderTermTest, ResignationFollowsTheAppendUnderWay) {
  const auto elected = MakeElected();
  std::vector<std::string> events;
  elected->term->Append({{"o/a", "x"}}, [&] { events.emplace_back("stored"); });
  const size_t begun = log_.append_count();
  elected->term->Resign(
      "node-2",
      [&] {
        events.emplace_back("last records");
        return std::vector<keyed_log::Record>{{"o/b", "x"}};
      },
      [&] {
        events.emplace_back("resigned");
        EXPECT_EQ(elected->ended_count, 0);
      });
  EXPECT_EQ(log_.append_count(), begun);
  log_.Settle();
  EXPECT_EQ(events,
            (std::vector<std::string>{"stored", "last records", "resigned"}));
  EXPECT_EQ(elected->ended_count, 1);
  const auto records = Stored(kProgressTopic);
  ASSERT_EQ(records.size(), 4U);
  EXPECT_EQ(records[1].key, "o/a");
  EXPECT_EQ(records[2].key, "o/b");
  jobs::LeaderRecord expected = Record("node-1", 1);
  expected.has_resigned = true;
  expected.successor = "node-2";
  EXPECT_EQ(jobs::Decode<jobs::LeaderRecord>(records[3].value), expected);
}

TEST_F(LeaderTermTest, ResignationIsRepeatedUntilItIsStored) {
  const auto elected = MakeElected();
  int resigned_count = 0;
  log_.set_loses_answers(true);
  elected->term->Resign(
      {}, [] { return std::vector<keyed_log::Record>(); },
      [&] { ++resigned_count; });
  log_.AnswerNext();
  EXPECT_EQ(elected->ended_count, 0);
  log_.set_loses_answers(false);
  log_.AnswerNext();
  EXPECT_EQ(resigned_count, 1);
  EXPECT_EQ(elected->ended_count, 1);
  EXPECT_EQ(Stored(kProgressTopic).size(), 2U);
}

// Guards against a leader that stands still since what it has to store is more
// than the store takes at once.
TEST_F(LeaderTermTest, StoresInSeveralAppendsWhatIsTooMuchForOne) {
  constexpr size_t kRecords = 100;
  log_.set_limits({4096, 4096});
  const auto elected = MakeElected();
  std::vector<keyed_log::Record> records;
  for (size_t i = 0; i < kRecords; ++i) {
    records.push_back({"o/" + std::to_string(i), std::string(500, 'x')});
  }
  int call_count = 0;
  elected->term->Append(records, [&] { ++call_count; });
  log_.AnswerNext();
  log_.AnswerNext();
  EXPECT_EQ(call_count, 0);
  EXPECT_TRUE(elected->term->is_appending());
  log_.Settle();
  EXPECT_EQ(call_count, 1);
  EXPECT_FALSE(elected->term->is_appending());
  std::vector<keyed_log::Record> stored = Stored(kProgressTopic);
  stored.erase(stored.begin());  // The candidacy.
  EXPECT_EQ(stored, records);
}

// Guards against a leader that repeats an append without a pause, or for ever,
// since a part of it can't be stored.
TEST_F(LeaderTermTest, GoesOnWithoutAnOptionalRecordThatIsRejected) {
  const auto elected = MakeElected();
  log_.set_rejected_key(kLearnedKey);
  std::vector<keyed_log::Record> records;
  for (size_t i = 0; i < 20; ++i) {
    records.push_back({"o/" + std::to_string(i), "x"});
  }
  records.insert(records.begin() + 7, {kLearnedKey, "y"});
  int call_count = 0;
  elected->term->Append(records, [&] { ++call_count; });
  log_.Settle();
  EXPECT_EQ(call_count, 0);
  for (int i = 0; i < 20 && call_count == 0; ++i) {
    loop_.restart();
    ASSERT_GT(loop_.run_one_for(seconds(10)), 0U);
    log_.Settle();
  }
  EXPECT_EQ(call_count, 1);
  EXPECT_EQ(elected->ended_count, 0);
  EXPECT_EQ(Stored(kProgressTopic).size(), 1U + 20U);
  EXPECT_LE(log_.append_count(), 20U);
}

// Such a record that is too large isn't even sent.
TEST_F(LeaderTermTest, LeavesOutAnOptionalRecordThatIsTooLarge) {
  log_.set_limits({4096, 65536});
  const auto elected = MakeElected();
  int call_count = 0;
  elected->term->Append({{kLearnedKey, std::string(5000, 'x')}, {"o/a", "x"}},
                        [&] { ++call_count; });
  log_.Settle();
  EXPECT_EQ(call_count, 1);
  EXPECT_EQ(Stored(kProgressTopic).size(), 2U);
}

// Guards against a claim that counts as stored and isn't.
TEST_F(LeaderTermTest, EndsIfTheStoreRejectsWhatOthersRestOn) {
  const auto elected = MakeElected();
  log_.set_rejected_key("o/a");
  int call_count = 0;
  elected->term->Append({{"o/a", "x"}}, [&] { ++call_count; });
  log_.Settle();
  EXPECT_EQ(call_count, 0);
  EXPECT_EQ(elected->ended_count, 1);
}

// Guards against records that count as stored because the store took their
// append for a repeat of an earlier one with the same sequence number.
TEST_F(LeaderTermTest, EndsIfAnAppendThatMayBeStoredIsRejected) {
  const auto elected = MakeElected();
  log_.set_loses_answers(true);
  int call_count = 0;
  elected->term->Append({{kLearnedKey, "y"}, {"o/a", "x"}},
                        [&] { ++call_count; });
  log_.AnswerNext();
  log_.set_loses_answers(false);
  log_.set_rejected_key(kLearnedKey);
  log_.Settle();
  EXPECT_EQ(call_count, 0);
  EXPECT_EQ(elected->ended_count, 1);
}

// Guards against calls to a leader whose process is stopping.
TEST_F(LeaderTermTest, NothingFollowsTheEnd) {
  const auto elected = MakeElected();
  int call_count = 0;
  elected->term->Append({{"o/a", "x"}}, [&] { ++call_count; });
  elected->term->After(milliseconds(1), [&] { ++call_count; });
  elected->term->End("The test ends it.");
  elected->term->End("The test ends it again.");
  log_.Settle();
  ASSERT_GT(loop_.run_one_for(seconds(10)), 0U);
  EXPECT_EQ(call_count, 0);
  EXPECT_EQ(elected->ended_count, 1);
}

}  // namespace
}  // namespace papayadrift::cluster
