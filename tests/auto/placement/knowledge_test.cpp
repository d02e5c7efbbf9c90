// Knowledge learned by one scheduler is passed on to later schedulers.

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>

#include "fixture.h"
#include "placement/bayesian_linear_model.h"

namespace papayadrift::placement {

namespace {

constexpr Resources kWorker = {8000, 8192, 0};
constexpr Resources kDeclared = {4000, 4096, 0};
constexpr Resources kUsed = {1000, 1024, 0};

// Runs one task that reports `used` the given number of times.
void Learn(Fixture& fixture, int reports, const Resources& used = kUsed) {
  fixture.AddWorker("a", kWorker, {1000, 1024, 0});
  const auto claims =
      Only<Claim>(fixture.Submit(SomeJob("learn", 1, kDeclared)));
  ASSERT_EQ(claims.size(), 1U);
  fixture.Start(claims[0]);
  for (int i = 0; i < reports; ++i) {
    fixture.Pass(seconds(1));
    fixture.Handle(UsageReported{claims[0].task, claims[0].attempt, used, i,
                                 fixture.now()});
  }
}

Resources FirstGrant(Fixture& fixture) {
  fixture.AddWorker("b", kWorker);
  const auto claims =
      Only<Claim>(fixture.Submit(SomeJob("first", 1, kDeclared)));
  return claims.empty() ? Resources() : claims[0].grant;
}

const records::KindKnowledge& TheKind(const KnowledgeNoted& note) {
  return note.kinds.at(0);
}

TEST(KnowledgeTest, NewSchedulerGrantsWhatTheOldOneLearned) {
  Fixture old;
  Learn(old, 50);
  Fixture informed;
  informed.Handle(old.scheduler().Knowledge());
  Fixture blank;
  EXPECT_EQ(FirstGrant(blank), kDeclared);
  const Resources grant = FirstGrant(informed);
  EXPECT_LT(grant.millicores, kDeclared.millicores / 2);
  EXPECT_GE(grant.millicores, kUsed.millicores);
  EXPECT_GE(grant.memory_mebibytes, kUsed.memory_mebibytes);
}

TEST(KnowledgeTest, RepeatedNotesCountOnce) {
  Fixture old;
  Learn(old, 50);
  const KnowledgeNoted note = old.scheduler().Knowledge();
  Fixture fixture;
  fixture.Handle(note);
  const KnowledgeNoted once = fixture.scheduler().Knowledge();
  for (int i = 0; i < 10; ++i) {
    fixture.Handle(note);
  }
  EXPECT_EQ(fixture.scheduler().Knowledge(), once);
  EXPECT_LT(TheKind(once).millicores.reports, TheKind(note).millicores.reports);
}

TEST(KnowledgeTest, OwnReportsAreNotReplacedByFewer) {
  Fixture old;
  Learn(old, 20, {3000, 3000, 0});
  Fixture fixture;
  Learn(fixture, 50);
  const KnowledgeNoted own = fixture.scheduler().Knowledge();
  fixture.Handle(old.scheduler().Knowledge());
  EXPECT_EQ(fixture.scheduler().Knowledge(), own);
}

TEST(KnowledgeTest, RepeatedImportWithoutReportsDecays) {
  Fixture old;
  Learn(old, 300);
  KnowledgeNoted note = old.scheduler().Knowledge();
  for (int i = 0; i < 8 && !note.kinds.empty(); ++i) {
    Fixture next;
    next.Handle(note);
    note = next.scheduler().Knowledge();
  }
  EXPECT_TRUE(note.kinds.empty());
}

TEST(KnowledgeTest, OwnReportsOutweighAWrongNote) {
  Fixture fixture;
  KnowledgeNoted wrong;
  wrong.kinds.push_back(
      {KindId("kind"), {300, 8, 1, 9}, {300, 8, 1, 9}, {300, 0, 1, 0}, 0, 0});
  fixture.Handle(wrong);
  EXPECT_LT(FirstGrant(fixture).millicores, 100);
  fixture.AddWorker("a", kWorker);
  const auto claims =
      Only<Claim>(fixture.Submit(SomeJob("learn", 1, kDeclared)));
  ASSERT_EQ(claims.size(), 1U);
  fixture.Start(claims[0]);
  // A task limited by its grant uses all of it.
  Resources grant = claims[0].grant;
  for (int i = 0; i < 400; ++i) {
    const auto changes = Only<ChangeGrant>(fixture.Pass(seconds(5)));
    const auto more = Only<ChangeGrant>(fixture.Handle(UsageReported{
        claims[0].task,
        claims[0].attempt,
        {std::min(grant.millicores, kUsed.millicores),
         std::min(grant.memory_mebibytes, kUsed.memory_mebibytes), 0},
        i / 2,
        fixture.now()}));
    for (const auto& list : {changes, more}) {
      for (const ChangeGrant& change : list) {
        grant = change.grant;
        fixture.Handle(
            GrantConfirmed{change.task, change.attempt, change.grant});
      }
    }
  }
  EXPECT_GE(grant.millicores, kUsed.millicores / 2);
}

// A service that the kind slows down only at full load.
KnowledgeNoted NoteOfASensitiveService() {
  KnowledgeNoted note;
  note.neighbours = {KindId("kind")};
  note.services = {{ServiceId("service"),
                    {{0, 0, 4000, 100}, {1, 0, 0, 100}, {1, 1, 20000, 100}}}};
  return note;
}

TEST(KnowledgeTest, LoadIsAssumedHighBeforeTheFirstReport) {
  Fixture fixture;
  fixture.Handle(NoteOfASensitiveService());
  fixture.AddWorker("idle", kDeclared);
  fixture.AddWorker("silent", kDeclared);
  EXPECT_TRUE(
      Only<Claim>(fixture.Submit(SomeJob("job", 2, kDeclared))).empty());
  fixture.Handle(LatencyReported{
      WorkerId("idle"), ServiceId("service"), milliseconds(2), milliseconds(8),
      0, fixture.now() - milliseconds(500), fixture.now()});
  EXPECT_EQ(Only<Claim>(fixture.Pass(seconds(59))).size(), 1U);
  EXPECT_EQ(Only<Claim>(fixture.Pass(seconds(2))).size(), 1U);
}

TEST(BayesianLinearModelTest, ImportsOnlyLowerDeviations) {
  BayesianLinearModel model;
  model.AddCoefficient({0.5, 0.3});
  model.AddCoefficient({0.1, 0.5});
  for (int i = 0; i < 30; ++i) {
    model.Observe({{0, 1}, {1, (i % 3) / 4.0}}, 0.4 + (i % 3) / 4.0, 0.05);
  }
  const double mean = model.Mean({{1, 1}});
  model.Import(1, -0.4, 0.49);
  EXPECT_EQ(model.Mean({{1, 1}}), mean);
  BayesianLinearModel blank;
  blank.AddCoefficient({0.5, 0.3});
  blank.AddCoefficient({0.1, 0.5});
  blank.Import(1, 0.7, 0.001);
  EXPECT_EQ(blank.Mean({{1, 1}}), 0.7);
  // Neither the certainty nor the mean exceeds the plausible range.
  EXPECT_GT(blank.Variance({{1, 1}}), 0.001);
  blank.Import(0, std::nan(""), 0.01);
  EXPECT_EQ(blank.Mean({{0, 1}}), 0.5);
  blank.Import(0, 1e6, 0.01);
  EXPECT_LE(blank.Mean({{0, 1}}), 0.5 + 5 * 0.3);
}

}  // namespace

}  // namespace papayadrift::placement
