#include "replay/decision_state.h"

#include <gtest/gtest.h>

#include <utility>

#include "records/codec.h"
#include "replay/record_builders.h"

namespace papayadrift::replay {
namespace {

using records::TaskEnding;
using test::Announced;
using test::Claimed;
using test::Ended;
using test::OfEntry;
using test::OfWorker;
using test::Submitted;

constexpr Offset kFarOffset(1'000'000);

// Appends records by one author, each at an offset of its own.
class DecisionStateTest : public testing::Test {
 protected:
  DecisionStateTest() {
    Apply(OfEntry<records::EntryJoined>("e1", 7));
    Apply(Announced("w1", 7, 4'000, 1'000));
    Apply(Submitted("j1", 3));
  }

  records::Proposal Propose(records::Record record) {
    return {.id = {.author = EntryId("e1"),
                   .incarnation = Incarnation(7),
                   .sequence = ++sequence_},
            .last_offset = kFarOffset,
            .record = std::move(record)};
  }

  std::optional<Rejection> Apply(records::Record record) {
    return Append(Propose(std::move(record)));
  }

  std::optional<Rejection> Append(const records::Proposal& proposal) {
    const auto applied =
        ApplyBytes(state_, state_.next_offset(), records::Encode({proposal}));
    return applied.at(0).verdict.rejection();
  }

  std::optional<Rejection> Claim(uint32_t index,
                                 uint64_t attempt,
                                 const std::string& resumes = "") {
    return Apply(Claimed(TaskOf(index), attempt, "w1", life_, 1'500, resumes));
  }

  std::optional<Rejection> End(uint32_t index,
                               uint64_t attempt,
                               TaskEnding ending,
                               const std::string& checkpoint = "") {
    return Apply(Ended(TaskOf(index), attempt, ending, checkpoint));
  }

  static TaskId TaskOf(uint32_t index) {
    return {.job = JobId("j1"), .index = index};
  }

  uint64_t life_ = 7;
  uint64_t sequence_ = 0;
  DecisionState state_;
};

TEST_F(DecisionStateTest, SpreadJobsKeepToTheirRacks) {
  const auto add = [&](const std::string& worker, const std::string& rack) {
    auto r = Announced(worker, 7, 4'000, 0);
    r.zone = ZoneId("z");
    r.rack = RackId(rack);
    EXPECT_EQ(Apply(r), std::nullopt);
  };
  add("a", "r1");
  add("b", "r1");
  add("c", "r2");
  auto job = Submitted("spread", 4);
  job.separation.most_per_rack = 1;
  EXPECT_EQ(Apply(job), std::nullopt);
  const auto claim = [&](uint32_t index, const std::string& worker) {
    return Apply(Claimed({JobId("spread"), index}, 1, worker, 7, 100));
  };
  EXPECT_EQ(claim(0, "a"), std::nullopt);
  EXPECT_EQ(claim(1, "b"), Rejection::kDomainFull);
  EXPECT_EQ(claim(1, "c"), std::nullopt);
  EXPECT_EQ(DecisionState::Restore(state_.Snapshot()), state_);
  EXPECT_EQ(Apply(Ended({JobId("spread"), 0}, 1, TaskEnding::kFinished)),
            std::nullopt);
  EXPECT_EQ(claim(2, "b"), std::nullopt);
  EXPECT_EQ(Apply(OfWorker<records::WorkerLapsed>("c", 7)), std::nullopt);
  add("d", "r2");
  EXPECT_EQ(claim(3, "d"), Rejection::kDomainFull);
  EXPECT_EQ(Apply(OfWorker<records::WorkerFreed>("c", 7)), std::nullopt);
  EXPECT_EQ(claim(3, "d"), std::nullopt);
}

TEST_F(DecisionStateTest, KindsStayApartAlsoFromAnEarlierLife) {
  auto shy = Submitted("shy", 2);
  shy.kind = KindId("shy");
  shy.separation.apart_from = {KindId("loud")};
  auto loud = Submitted("loud", 2);
  loud.kind = KindId("loud");
  EXPECT_EQ(Apply(shy), std::nullopt);
  EXPECT_EQ(Apply(loud), std::nullopt);
  const TaskId task = {JobId("shy"), 0};
  const TaskId other = {JobId("loud"), 0};
  EXPECT_EQ(Apply(Claimed(task, 1, "w1", 7, 100)), std::nullopt);
  EXPECT_EQ(Apply(Claimed(other, 1, "w1", 7, 100)), Rejection::kKindsApart);
  EXPECT_EQ(Apply(Announced("w1", 8, 4'000, 0)), std::nullopt);
  EXPECT_EQ(Apply(Claimed(other, 1, "w1", 8, 100)), Rejection::kKindsApart);
  EXPECT_EQ(Apply(Ended(task, 1, TaskEnding::kFinished)), std::nullopt);
  EXPECT_EQ(Apply(Claimed(other, 1, "w1", 8, 100)), std::nullopt);
  EXPECT_EQ(Apply(Claimed({JobId("shy"), 1}, 1, "w1", 8, 100)),
            Rejection::kKindsApart);
  EXPECT_EQ(DecisionState::Restore(state_.Snapshot()), state_);
}

TEST_F(DecisionStateTest, ClaimsFitCapacityReservationsIncluded) {
  EXPECT_EQ(Claim(0, 1), std::nullopt);
  EXPECT_EQ(Claim(0, 2), Rejection::kTaskLive);
  EXPECT_EQ(Claim(1, 1), std::nullopt);
  EXPECT_EQ(Claim(2, 1), Rejection::kCapacityExceeded);
  EXPECT_EQ(End(0, 1, TaskEnding::kFinished), std::nullopt);
  EXPECT_EQ(Claim(2, 1), std::nullopt);
}

TEST_F(DecisionStateTest, AnEvictionIsResumedExactlyOnce) {
  Claim(0, 1);
  EXPECT_EQ(Apply(records::EvictionRequested{.task = TaskOf(0),
                                             .attempt = Attempt(1)}),
            std::nullopt);
  EXPECT_EQ(End(0, 1, TaskEnding::kCheckpointed, "c1"), std::nullopt);
  EXPECT_EQ(End(0, 1, TaskEnding::kFinished), Rejection::kAttemptNotLive);
  EXPECT_EQ(Claim(0, 2), Rejection::kCheckpointMismatch);
  EXPECT_EQ(Claim(0, 1, "c1"), Rejection::kAttemptNotNext);
  EXPECT_EQ(Claim(0, 3, "c1"), Rejection::kAttemptNotNext);
  EXPECT_EQ(Claim(0, 2, "c1"), std::nullopt);
  EXPECT_EQ(Claim(0, 3, "c1"), Rejection::kTaskLive);
  EXPECT_EQ(End(0, 2, TaskEnding::kFailed), std::nullopt);
  EXPECT_EQ(Claim(0, 3, "c1"), Rejection::kCheckpointMismatch);
  EXPECT_EQ(Claim(0, 3), std::nullopt);
}

TEST_F(DecisionStateTest, AFirstRejectionHoldsForEveryCopy) {
  Claim(0, 1);
  Claim(1, 1);
  const auto proposal = Propose(Claimed(TaskOf(2), 1, "w1", life_, 1'500));
  EXPECT_EQ(Append(proposal), Rejection::kCapacityExceeded);
  End(0, 1, TaskEnding::kFinished);
  EXPECT_EQ(Append(proposal), Rejection::kDuplicate);
}

TEST_F(DecisionStateTest, AnOldIncarnationKeepsItsShareUntilFreed) {
  Claim(0, 1);
  EXPECT_EQ(Apply(Announced("w1", 8, 4'000, 1'600)),
            Rejection::kCapacityExceeded);
  EXPECT_EQ(Apply(Announced("w1", 8, 4'000, 1'000)), std::nullopt);
  EXPECT_EQ(Claim(1, 1), Rejection::kWorkerDraining);
  life_ = 8;
  EXPECT_EQ(Claim(1, 1), Rejection::kCapacityExceeded);
  const auto freed = OfWorker<records::WorkerFreed>("w1", 7);
  EXPECT_EQ(Apply(freed), Rejection::kWorkerNotLapsed);
  EXPECT_EQ(Apply(OfWorker<records::WorkerLapsed>("w1", 7)), std::nullopt);
  EXPECT_EQ(Claim(0, 2), Rejection::kTaskLive);
  EXPECT_EQ(Apply(freed), std::nullopt);
  EXPECT_EQ(Claim(0, 2), std::nullopt);
  EXPECT_EQ(Apply(Announced("w1", 7, 4'000, 0)),
            Rejection::kIncarnationSuperseded);
}

TEST_F(DecisionStateTest, AQuarantinedWorkerGetsOneProbe) {
  auto quarantine = OfWorker<records::WorkerQuarantined>("w1", 7);
  quarantine.is_quarantined = true;
  EXPECT_EQ(Apply(quarantine), std::nullopt);
  EXPECT_EQ(Claim(0, 1), std::nullopt);
  EXPECT_EQ(Claim(1, 1), Rejection::kWorkerQuarantined);
}

records::QuotasSet Division(uint64_t version,
                            uint64_t division,
                            int64_t millicores) {
  records::QuotasSet record;
  record.version = ConfigurationVersion(version);
  record.division = ConfigurationVersion(division);
  record.shares = {{.team = TeamId("team"), .limit = {millicores, 0, 0}}};
  return record;
}

TEST_F(DecisionStateTest, PartsOfQuotasAreLoweredAtOnceAndRaisedLater) {
  const auto raise = [this](uint64_t division) {
    return Apply(records::QuotaSharesRaised{ConfigurationVersion(division)});
  };
  const auto held = [this] {
    return state_.quotas().holdings().held().at(TeamId("team")).millicores;
  };
  Apply(Division(1, 1, 500));
  EXPECT_EQ(held(), 0);
  EXPECT_EQ(raise(1), std::nullopt);
  EXPECT_EQ(held(), 500);
  Apply(Division(2, 2, 300));
  EXPECT_EQ(held(), 300);
  Apply(Division(4, 4, 900));
  EXPECT_EQ(held(), 300);
  EXPECT_EQ(raise(2), Rejection::kNoChange);
  Apply(Division(5, 4, 900));  // Another version of the same division.
  EXPECT_EQ(raise(4), std::nullopt);
  EXPECT_EQ(raise(4), Rejection::kNoChange);
  EXPECT_EQ(held(), 900);
  EXPECT_EQ(Apply(Division(6, 3, 900)), Rejection::kMalformed);
  EXPECT_EQ(DecisionState::Restore(state_.Snapshot()), state_);
}

TEST_F(DecisionStateTest, APartOfAQuotaIsGivenIfFreeAndTakenUpOnce) {
  const TeamId team("team");
  const auto give = [&](uint64_t division, int64_t total) {
    return Apply(records::QuotaGiven{ConfigurationVersion(division),
                                     RegionId("south"),
                                     team,
                                     {total, 0, 0}});
  };
  const auto take = [&](uint64_t division, int64_t total) {
    return Apply(records::QuotaTaken{
        ConfigurationVersion(division), RegionId("west"), team, {total, 0, 0}});
  };
  const auto held = [&] {
    return state_.quotas().holdings().HeldBy(team).millicores;
  };
  Apply(Division(1, 1, 2'000));
  EXPECT_EQ(give(1, 100), Rejection::kNoChange);  // Not raised yet.
  EXPECT_EQ(take(1, 100), Rejection::kNoChange);
  Apply(records::QuotaSharesRaised{ConfigurationVersion(1)});
  EXPECT_EQ(Claim(0, 1), std::nullopt);  // Grants 1,500.
  EXPECT_EQ(give(1, 600), Rejection::kQuotaExceeded);
  EXPECT_EQ(give(1, 400), std::nullopt);
  EXPECT_EQ(give(1, 400), Rejection::kNoChange);
  EXPECT_EQ(give(1, 300), Rejection::kNoChange);
  EXPECT_EQ(held(), 1'600);
  EXPECT_EQ(take(1, 700), std::nullopt);
  EXPECT_EQ(take(1, 700), Rejection::kNoChange);
  EXPECT_EQ(take(1, 500), Rejection::kNoChange);  // A late word.
  EXPECT_EQ(take(1, 900), std::nullopt);
  EXPECT_EQ(held(), 2'500);
  EXPECT_EQ(DecisionState::Restore(state_.Snapshot()), state_);
  Apply(Division(2, 2, 2'000));
  EXPECT_EQ(held(), 2'000);
  Apply(records::QuotaSharesRaised{ConfigurationVersion(2)});
  EXPECT_EQ(take(1, 1'000), Rejection::kNoChange);  // Of a division that ended.
  EXPECT_EQ(give(1, 10), Rejection::kNoChange);
  EXPECT_EQ(held(), 2'000);
}

TEST_F(DecisionStateTest, ATeamStaysWithinItsQuota) {
  records::QuotasSet quotas;
  quotas.version = ConfigurationVersion(3);
  quotas.quotas.resize(1);
  quotas.quotas[0].team = TeamId("team");
  quotas.quotas[0].limit.millicores = 2'000;
  EXPECT_EQ(Apply(quotas), std::nullopt);
  EXPECT_EQ(Apply(quotas), Rejection::kVersionNotNewer);
  EXPECT_EQ(Claim(0, 1), std::nullopt);
  EXPECT_EQ(Claim(1, 1), Rejection::kQuotaExceeded);
}

TEST_F(DecisionStateTest, ACancelledJobTakesNoClaimAndEndsWithItsLastAttempt) {
  Claim(0, 1);
  EXPECT_EQ(Apply(records::JobCancelled{.job = JobId("j1")}), std::nullopt);
  EXPECT_EQ(Claim(1, 1), Rejection::kJobClosed);
  EXPECT_FALSE(state_.jobs().FindJob(JobId("j1"))->ended_at);
  EXPECT_EQ(End(0, 1, TaskEnding::kStopped), std::nullopt);
  EXPECT_TRUE(state_.jobs().FindJob(JobId("j1"))->ended_at);
  EXPECT_EQ(state_.jobs().FindJob(JobId("j1"))->counts.dropped, 3U);
}

TEST_F(DecisionStateTest, AJoinerIsFullOnceAllMembersHaveAcknowledged) {
  const EntryKey joiner = {.entry = EntryId("e2"),
                           .incarnation = Incarnation(1)};
  Apply(OfEntry<records::EntryJoined>("e2", 1));
  EXPECT_EQ(state_.entries().Find(joiner)->phase, EntryPhase::kJoining);
  auto acknowledged = OfEntry<records::EntryAcknowledged>("e1", 7);
  acknowledged.generation = state_.entries().generation();
  EXPECT_EQ(Apply(acknowledged), std::nullopt);
  EXPECT_EQ(state_.entries().Find(joiner)->phase, EntryPhase::kFull);

  // A lapsed member keeps its shares until it is retired.
  Apply(OfEntry<records::EntryLapsed>("e2", 1));
  Apply(OfEntry<records::EntryJoined>("e3", 1));
  acknowledged.generation = state_.entries().generation();
  Apply(acknowledged);
  const EntryKey third = {.entry = EntryId("e3"),
                          .incarnation = Incarnation(1)};
  EXPECT_EQ(state_.entries().Find(third)->phase, EntryPhase::kJoining);
  EXPECT_EQ(Apply(OfEntry<records::EntryRetired>("e2", 1)), std::nullopt);
  EXPECT_EQ(state_.entries().Find(third)->phase, EntryPhase::kFull);
}

TEST_F(DecisionStateTest, ALapsedEntryLapsesNobody) {
  Apply(OfEntry<records::EntryJoined>("e2", 1));
  EXPECT_EQ(Apply(OfEntry<records::EntryLapsed>("e1", 7)), std::nullopt);
  EXPECT_EQ(Apply(OfEntry<records::EntryLapsed>("e2", 1)),
            Rejection::kAuthorNotMember);
  EXPECT_EQ(Apply(OfWorker<records::WorkerLapsed>("w1", 7)),
            Rejection::kAuthorNotMember);
}

class KeyTest : public DecisionStateTest {
 protected:
  static records::KeyClaimed Key(const std::string& key,
                                 milliseconds window_end,
                                 uint64_t digest = 5) {
    auto r = OfEntry<records::KeyClaimed>("e1", 7);
    r.key = IdempotencyKey(key);
    r.body_digest = digest;
    r.window_ends_at = WallInstant(window_end);
    return r;
  }

  const KeyState* Find(const std::string& key) const {
    return state_.keys().Find(
        {.customer = {}, .service = {}, .key = IdempotencyKey(key)});
  }

  static constexpr milliseconds kWindow = KeyTable::kWindow;
};

TEST_F(KeyTest, TheFirstClaimWinsAndAnotherBodyIsToldApart) {
  EXPECT_EQ(Apply(Key("a", kWindow)), std::nullopt);
  EXPECT_EQ(Apply(Key("a", kWindow)), Rejection::kKeyTaken);
  EXPECT_EQ(Apply(Key("a", kWindow, 6)), Rejection::kKeyBodyDiffers);
}

TEST_F(KeyTest, OnlyTheClaimantResolvesOnce) {
  Apply(Key("a", kWindow));
  records::KeyResolved resolved;
  resolved.key = IdempotencyKey("a");
  resolved.ran = Ran::kYes;
  resolved.answer = "done";
  auto by_another = Propose(resolved);
  by_another.id.author = EntryId("e2");
  EXPECT_EQ(Append(by_another), Rejection::kKeyNotClaimant);
  EXPECT_EQ(Apply(resolved), std::nullopt);
  EXPECT_EQ(Apply(resolved), Rejection::kKeyResolved);
  EXPECT_EQ(Find("a")->answer->answer, "done");
}

TEST_F(KeyTest, AClosedWindowIsRefusedNotRunAgain) {
  Apply(Key("a", kWindow));
  EXPECT_EQ(Apply(Key("b", kWindow * 2)), std::nullopt);
  EXPECT_EQ(Find("a"), nullptr);
  EXPECT_EQ(Apply(Key("a", kWindow)), Rejection::kKeyOutsideWindow);
}

TEST_F(KeyTest, KeysOfARetiredEntryBecomeUnknown) {
  Apply(Key("a", kWindow));
  Apply(OfEntry<records::EntryJoined>("e2", 1));
  auto lapse = Propose(OfEntry<records::EntryLapsed>("e1", 7));
  lapse.id.author = EntryId("e2");
  lapse.id.incarnation = Incarnation(1);
  EXPECT_EQ(Append(lapse), std::nullopt);
  EXPECT_EQ(Apply(Key("b", kWindow)), Rejection::kAuthorNotMember);
  EXPECT_EQ(Apply(OfEntry<records::EntryRetired>("e1", 7)), std::nullopt);
  EXPECT_EQ(Find("a")->answer->ran, Ran::kUnknown);
}

}  // namespace
}  // namespace papayadrift::replay
