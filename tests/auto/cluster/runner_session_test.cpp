#include "cluster/runner_session.h"

#include <gtest/gtest.h>

#include <optional>
#include <utility>
#include <vector>

namespace papayadrift::cluster {
namespace {

constexpr uint64_t kTerm = 3;
constexpr int64_t kStartUnixMs = 1000;
constexpr int64_t kRunnerClockMs = 70'000;
constexpr WallInstant kWallNow(milliseconds(1'000'000));
const jobs::TaskKey kTask{JobId("a"), 0, 0, 0};
const jobs::StartOrder kStart{kTask, 1, {}, {}, {}};

Instant At(int64_t ms) {
  return Instant(milliseconds(ms));
}

// Ends with the numbers 1 to `count`.
std::vector<jobs::EndedRun> Ends(uint64_t count) {
  std::vector<jobs::EndedRun> ends;
  for (uint64_t n = 1; n <= count; ++n) {
    ends.push_back(
        {n, kTask, static_cast<uint32_t>(n), jobs::RunEnd::kDone, ""});
  }
  return ends;
}

class RunnerSessionTest : public testing::Test {
 protected:
  RunnerSessionTest() {
    EXPECT_EQ(Announce({"own", kStartUnixMs, 1, "127.0.0.1:3", "s"}),
              AnnouncementVerdict::kStarted);
    EXPECT_TRUE(session_.OnLeader({kTerm, "node-1", "127.0.0.1:1"}));
  }

  AnnouncementVerdict Announce(const Announcement& announcement) {
    return session_.OnAnnouncement(announcement, now_, kWallNow);
  }
  // Sends a report and has it answered.
  ReportOutcome Report(const jobs::ReportAnswer& answer) {
    return session_.OnReported(session_.StartReport(now_).ticket, answer);
  }
  // Sends a lease renewal, whose answer lists the ends 1 to `ends`.
  RenewalOutcome Renew(uint64_t ends = 0) {
    LeaseRenewalResponse response;
    response.clock_ms = kRunnerClockMs;
    response.ended = Ends(ends);
    return session_.OnLeaseRenewed(session_.StartRenewal(now_), response, now_);
  }
  // The same, answered by the process that started at `start_unix_ms`.
  RenewalOutcome RenewAs(int64_t start_unix_ms) {
    LeaseRenewalResponse response;
    response.clock_ms = kRunnerClockMs;
    response.start_unix_ms = start_unix_ms;
    return session_.OnLeaseRenewed(session_.StartRenewal(now_), response, now_);
  }
  RenewalOutcome FailToRenew(RunnerFailure failure) {
    return session_.OnLeaseRenewed(session_.StartRenewal(now_), failure, now_);
  }
  std::optional<jobs::OrderVerdict> VerdictOn(const jobs::Order& order,
                                              uint64_t term = kTerm) {
    return session_.VerdictOn({term,
                               session_.incarnation(),
                               {},
                               0,
                               now_.time_since_epoch() / milliseconds(1)},
                              order, now_, now_);
  }

  Instant now_ = At(10'000);
  RunnerSession session_{{.node = "agent", .address = "a:1", .service = "s"},
                         kStartUnixMs};
};

TEST_F(RunnerSessionTest, ReportsWhatTheRunnerHasListed) {
  jobs::RunnerReport report = session_.StartReport(now_).report;
  EXPECT_EQ(report.incarnation,
            (jobs::RunnerIncarnation{"agent", "own", kStartUnixMs}));
  EXPECT_EQ(report.listed_at_ms, 0);
  EXPECT_FALSE(session_.CanReport());  // Until that one is answered.
  session_.OnTerm(kTerm);
  const RenewalCall call = session_.StartRenewal(now_);
  EXPECT_FALSE(session_.CanRenewLease());
  now_ += milliseconds(200);
  LeaseRenewalResponse response;
  response.ended = Ends(2);
  response.has_all_ends = false;
  const RenewalOutcome outcome = session_.OnLeaseRenewed(call, response, now_);
  EXPECT_TRUE(outcome.is_report_due);
  EXPECT_TRUE(session_.CanRenewLease());
  report = session_.StartReport(now_).report;
  EXPECT_EQ(report.listed_at_ms, 10'000);
  EXPECT_EQ(report.sent_at_ms, 10'200);
  EXPECT_EQ(report.ended, Ends(2));
  EXPECT_FALSE(report.has_all_ends);
}

// The lease is granted on the agent's clock.
TEST_F(RunnerSessionTest, ConvertsTheLeaseToTheRunnersClock) {
  EXPECT_TRUE(Report({kTerm, 0, 12'000}).is_accepted);
  EXPECT_FALSE(session_.HasLease(now_));  // The runner's clock is not known.
  EXPECT_EQ(session_.LeaseEndOnRunnerClock(), 0);
  EXPECT_EQ(VerdictOn(kStart), jobs::OrderVerdict::kLeaseExpired);
  Renew();
  EXPECT_TRUE(session_.HasLease(now_));
  EXPECT_EQ(VerdictOn(kStart), std::nullopt);
  const LeaseRenewalRequest request = session_.StartRenewal(At(11'000)).request;
  EXPECT_EQ(request.lease_until_ms, kRunnerClockMs + 2000);
  EXPECT_GT(request.wait, milliseconds(0));
  EXPECT_FALSE(session_.HasLease(At(12'000)));
}

TEST_F(RunnerSessionTest, FollowsTheHighestTerm) {
  EXPECT_TRUE(Report({kTerm, 0, 12'000}).is_accepted);
  session_.OnTerm(kTerm + 1);
  session_.OnTerm(kTerm);
  EXPECT_EQ(session_.term(), kTerm + 1);
  EXPECT_EQ(VerdictOn(jobs::StopOrder{kTask, 1}),
            jobs::OrderVerdict::kSuperseded);
  EXPECT_EQ(VerdictOn(jobs::StopOrder{kTask, 1}, kTerm + 1), std::nullopt);
  EXPECT_FALSE(Report({kTerm, 0, 20'000}).is_accepted);
  EXPECT_FALSE(session_.OnLeader({kTerm, "node-2", "127.0.0.1:2"}));
  EXPECT_EQ(session_.leader().node, "node-1");
}

// Guards against the answer of a former leader that is taken for the present
// one's.
TEST_F(RunnerSessionTest, DoesNotAwaitAFormerLeadersAnswer) {
  const ReportTicket former = session_.StartReport(now_).ticket;
  EXPECT_TRUE(session_.IsAwaited(former));
  EXPECT_TRUE(session_.OnLeader({kTerm + 1, "node-2", "127.0.0.1:2"}));
  EXPECT_FALSE(session_.IsAwaited(former));
  const ReportTicket present = session_.StartReport(now_).ticket;
  EXPECT_FALSE(session_.IsAwaited(former));
  EXPECT_TRUE(session_.IsAwaited(present));
  session_.OnReported(present, std::nullopt);
  EXPECT_FALSE(session_.IsAwaited(present));  // An answer that comes twice.
}

// A heartbeat may arrive after its process has crashed and another one has
// registered.
TEST_F(RunnerSessionTest, LateAnnouncementOfAnEarlierProcessIsIgnored) {
  EXPECT_EQ(Announce({"next", kStartUnixMs + 1, 5, "127.0.0.1:4", "s"}),
            AnnouncementVerdict::kStarted);
  EXPECT_EQ(Announce({"own", kStartUnixMs, 9, "127.0.0.1:3", "s"}),
            AnnouncementVerdict::kNotNewer);
  EXPECT_EQ(Announce({"next",
                      kStartUnixMs + 1,
                      4,
                      "127.0.0.1:4",
                      "s",
                      {},
                      {},
                      jobs::RunnerState::kDraining}),
            AnnouncementVerdict::kNotNewer);
  EXPECT_EQ(session_.announced().instance, "next");
  EXPECT_EQ(session_.announced().state, jobs::RunnerState::kReady);
}

// Guards against a start or a stop that the next process takes for its own.
TEST_F(RunnerSessionTest, OrderForAnEarlierProcessIsRefused) {
  Report({kTerm, 0, 20'000});
  Renew();
  jobs::OrderBatch batch{kTerm, session_.incarnation(), {}, 0, 10'000};
  EXPECT_EQ(session_.VerdictOn(batch, kStart, now_, now_), std::nullopt);
  EXPECT_EQ(Announce({"own", kStartUnixMs + 1, 1, "127.0.0.1:3", "s"}),
            AnnouncementVerdict::kStarted);
  EXPECT_EQ(session_.VerdictOn(batch, kStart, now_, now_),
            jobs::OrderVerdict::kRefused);
  EXPECT_EQ(session_.VerdictOn(batch, jobs::StopOrder{kTask, 1}, now_, now_),
            jobs::OrderVerdict::kRefused);
}

// Guards against runs that are released while they go on: a runner whose
// departure was not answered has ended and started again under its name, and
// the departure is read after that.
TEST_F(RunnerSessionTest, LateDepartureDoesNotEndTheNextProcess) {
  session_.OnTerm(kTerm);
  EXPECT_EQ(Announce({"own", kStartUnixMs + 1, 1, "127.0.0.1:3", "s"}),
            AnnouncementVerdict::kStarted);
  EXPECT_FALSE(session_.OnRunnerLeaving("own", now_));
  EXPECT_TRUE(session_.IsRunnerUp());
  now_ += milliseconds(10);
  Renew();
  FailToRenew(RunnerFailure::kNotListening);
  EXPECT_FALSE(FailToRenew(RunnerFailure::kNotListening).has_runner_ended);
  EXPECT_TRUE(session_.IsRunnerUp());
  EXPECT_TRUE(session_.StartReport(now_).report.crash);
}

TEST_F(RunnerSessionTest, DepartureAfterDrainingEndsTheRunnerAtOnce) {
  Announcement draining{"own", kStartUnixMs, 2, "127.0.0.1:3", "s"};
  draining.state = jobs::RunnerState::kDraining;
  EXPECT_EQ(Announce(draining), AnnouncementVerdict::kChanged);
  EXPECT_FALSE(session_.OnRunnerLeaving("other", now_));
  EXPECT_TRUE(session_.OnRunnerLeaving("own", now_));
  EXPECT_FALSE(session_.IsRunnerUp());
  EXPECT_EQ(session_.StartReport(now_).report.crash, std::nullopt);
}

// Guards against a task that runs twice: the departure of an earlier process of
// the name arrives late, while the later one drains and its runs go on.
TEST_F(RunnerSessionTest, LateDepartureDoesNotEndADrainingProcess) {
  session_.OnTerm(kTerm);
  Announcement next{"own", kStartUnixMs + 1, 1, "127.0.0.1:3", "s"};
  Announce(next);
  next.sequence = 2;
  next.state = jobs::RunnerState::kDraining;
  Announce(next);
  EXPECT_FALSE(session_.OnRunnerLeaving("own", now_));
  EXPECT_TRUE(session_.IsRunnerUp());
  EXPECT_EQ(session_.StartReport(now_).report.state,
            jobs::RunnerState::kDraining);
}

// The same for one whose path is cut before it has answered a call.
TEST_F(RunnerSessionTest, LateDepartureAndRefusalsDoNotEndTheNextProcess) {
  session_.OnTerm(kTerm);
  Announce({"own", kStartUnixMs + 1, 1, "127.0.0.1:3", "s"});
  EXPECT_FALSE(session_.OnRunnerLeaving("own", now_));
  FailToRenew(RunnerFailure::kNotListening);
  EXPECT_FALSE(FailToRenew(RunnerFailure::kNotListening).has_runner_ended);
  EXPECT_TRUE(session_.IsRunnerUp());
  const jobs::RunnerReport report = session_.StartReport(now_).report;
  EXPECT_TRUE(report.is_unreachable);
  EXPECT_EQ(report.crash, std::nullopt);
}

// An agent that has started again doesn't know of earlier processes.
TEST_F(RunnerSessionTest, LateDepartureAfterARestartOfTheAgentEndsNoProcess) {
  session_ = RunnerSession({.node = "agent", .address = "a:1", .service = "s"},
                           kStartUnixMs + 1);
  Announcement draining{"own", kStartUnixMs, 2, "127.0.0.1:3", "s"};
  draining.state = jobs::RunnerState::kDraining;
  Announce(draining);
  EXPECT_FALSE(session_.OnRunnerLeaving("own", now_));
  EXPECT_TRUE(session_.IsRunnerUp());
}

// Otherwise the runs of a runner that has ever started again under its name
// would wait for its lease after each planned end.
TEST_F(RunnerSessionTest, DepartureLongAfterTheStartIsItsOwn) {
  Announcement next{"own", kStartUnixMs + 1, 1, "127.0.0.1:3", "s"};
  Announce(next);
  now_ += milliseconds(12'001);
  next.sequence = 2;
  next.state = jobs::RunnerState::kDraining;
  Announce(next);
  EXPECT_TRUE(session_.OnRunnerLeaving("own", now_));
  EXPECT_FALSE(session_.IsRunnerUp());
}

// Its announcement that it drains may be lost. No task is to blame.
TEST_F(RunnerSessionTest, RunnerThatLeavesWithoutDrainingHasNotCrashed) {
  session_.OnTerm(kTerm);
  const RenewalCall call = session_.StartRenewal(now_);
  now_ += milliseconds(10);
  EXPECT_FALSE(session_.OnRunnerLeaving("own", now_));
  session_.OnLeaseRenewed(call, LeaseRenewalResponse{}, now_);
  FailToRenew(RunnerFailure::kNotListening);
  EXPECT_TRUE(FailToRenew(RunnerFailure::kNotListening).has_runner_ended);
  EXPECT_EQ(session_.StartReport(now_).report.crash, std::nullopt);
}

// Guards against a process that is granted what was meant for the one before.
TEST_F(RunnerSessionTest, IgnoresAnswersToCallsToAnEarlierProcess) {
  Report({kTerm, 0, 0});
  const RenewalCall renewal = session_.StartRenewal(now_);
  const ReportTicket report = session_.StartReport(now_).ticket;
  EXPECT_EQ(Announce({"next", kStartUnixMs + 1, 1, "127.0.0.1:4", "s"}),
            AnnouncementVerdict::kStarted);
  LeaseRenewalResponse listed;
  listed.ended = Ends(1);
  EXPECT_EQ(session_.OnLeaseRenewed(renewal, listed, now_), RenewalOutcome());
  const ReportOutcome outcome =
      session_.OnReported(report, jobs::ReportAnswer{kTerm, 1, 20'000});
  EXPECT_EQ(outcome, ReportOutcome{.is_accepted = true});
  Renew();
  EXPECT_FALSE(session_.HasLease(now_));
  EXPECT_EQ(session_.StartRenewal(now_).request.recorded_ends, 0U);
}

// Guards against a task that runs twice: its runner lives behind a path that
// refuses connections.
TEST_F(RunnerSessionTest, RefusedConnectionsAreNoEndOfTheRunner) {
  Report({kTerm, 0, 20'000});
  Renew();
  now_ += milliseconds(500);
  RenewalOutcome outcome = FailToRenew(RunnerFailure::kNotListening);
  EXPECT_EQ(outcome.is_reachable, std::nullopt);
  EXPECT_FALSE(session_.StartReport(now_).report.is_unreachable);
  outcome = FailToRenew(RunnerFailure::kNotListening);
  EXPECT_EQ(outcome.is_reachable, false);
  EXPECT_TRUE(outcome.is_report_due);
  constexpr int kMoreCalls = 30;
  for (int i = 0; i < kMoreCalls; ++i) {
    now_ += milliseconds(150);
    outcome = FailToRenew(RunnerFailure::kNotListening);
    EXPECT_FALSE(outcome.has_runner_ended);
    EXPECT_EQ(outcome.is_reachable, std::nullopt);
    EXPECT_EQ(outcome.next_renewal, RunnerSession::kRetryDelay);
  }
  EXPECT_TRUE(session_.IsRunnerUp());
  ASSERT_TRUE(session_.HasLease(now_));
  EXPECT_EQ(VerdictOn(kStart), jobs::OrderVerdict::kLeaseExpired);
  jobs::RunnerReport report = session_.StartReport(now_).report;
  EXPECT_EQ(report.state, jobs::RunnerState::kReady);
  EXPECT_TRUE(report.is_unreachable);
  EXPECT_EQ(report.listed_at_ms, 10'000);
  EXPECT_EQ(report.crash, (jobs::CrashTime{10'000, 10'500}));
  outcome = Renew(1);
  EXPECT_EQ(outcome.is_reachable, true);
  EXPECT_TRUE(outcome.is_report_due);
  EXPECT_EQ(VerdictOn(kStart), std::nullopt);
  report = session_.StartReport(now_).report;
  EXPECT_FALSE(report.is_unreachable);
  EXPECT_EQ(report.crash, std::nullopt);
  EXPECT_EQ(report.ended, Ends(1));
}

// An unanswered call in between must not bring starts back.
TEST_F(RunnerSessionTest, RunnerStaysUnreachableUntilItAnswers) {
  session_.OnTerm(kTerm);
  Renew();
  FailToRenew(RunnerFailure::kNotListening);
  FailToRenew(RunnerFailure::kNotListening);
  FailToRenew(RunnerFailure::kUnanswered);
  EXPECT_TRUE(session_.StartReport(now_).report.is_unreachable);
  RenewAs(kStartUnixMs + 1);  // Another process, not announced yet.
  EXPECT_TRUE(session_.StartReport(now_).report.is_unreachable);
  EXPECT_EQ(RenewAs(kStartUnixMs).is_reachable, true);
  EXPECT_EQ(FailToRenew(RunnerFailure::kNotListening).is_reachable,
            std::nullopt);
  EXPECT_EQ(FailToRenew(RunnerFailure::kNotListening).is_reachable, false);
  EXPECT_EQ(RenewAs(kStartUnixMs).is_reachable, true);
}

// A path that is cut for a moment, again and again.
TEST_F(RunnerSessionTest, SingleRefusalsDoNotMakeTheRunnerUnreachable) {
  session_.OnTerm(kTerm);
  constexpr int kCuts = 20;
  for (int i = 0; i < kCuts; ++i) {
    now_ += milliseconds(150);
    EXPECT_EQ(FailToRenew(RunnerFailure::kNotListening).is_reachable,
              std::nullopt);
    EXPECT_EQ(Renew().is_reachable, std::nullopt);
    EXPECT_FALSE(session_.StartReport(now_).report.is_unreachable);
  }
}

// The next process is known at once, and the leader needs the time of the crash
// to find the task that caused it.
TEST_F(RunnerSessionTest, NextProcessTellsOfTheCrashOfTheOneBefore) {
  session_.OnTerm(kTerm);
  Renew();
  now_ += milliseconds(500);
  FailToRenew(RunnerFailure::kNotListening);
  FailToRenew(RunnerFailure::kNotListening);
  now_ += milliseconds(2000);
  EXPECT_EQ(Announce({"own", kStartUnixMs + 1, 1, "127.0.0.1:3", "s"}),
            AnnouncementVerdict::kStarted);
  jobs::RunnerReport report = session_.StartReport(now_).report;
  EXPECT_FALSE(report.is_unreachable);
  EXPECT_EQ(report.crash, std::nullopt);
  EXPECT_EQ(report.earlier_crash, (jobs::CrashTime{10'000, 10'500}));
  EXPECT_EQ(Announce({"own", kStartUnixMs + 2, 1, "127.0.0.1:3", "s"}),
            AnnouncementVerdict::kStarted);
  EXPECT_EQ(session_.StartReport(now_).report.earlier_crash, std::nullopt);
}

// Guards against a task that is blamed for a planned end. Draining alone is no
// end, since the runs go on meanwhile.
TEST_F(RunnerSessionTest, UnreachableRunnerThatDrainsHasNotCrashed) {
  session_.OnTerm(kTerm);
  Renew();
  Announcement draining{"own", kStartUnixMs, 2, "127.0.0.1:3", "s"};
  draining.state = jobs::RunnerState::kDraining;
  Announce(draining);
  FailToRenew(RunnerFailure::kNotListening);
  EXPECT_FALSE(FailToRenew(RunnerFailure::kNotListening).has_runner_ended);
  EXPECT_TRUE(session_.IsRunnerUp());
  const jobs::RunnerReport report = session_.StartReport(now_).report;
  EXPECT_TRUE(report.is_unreachable);
  EXPECT_EQ(report.crash, std::nullopt);
  EXPECT_EQ(Announce({"own", kStartUnixMs + 1, 1, "127.0.0.1:3", "s"}),
            AnnouncementVerdict::kStarted);
  EXPECT_EQ(session_.StartReport(now_).report.earlier_crash, std::nullopt);
}

// The leader has to store the end of a runner before its agent may stop.
TEST_F(RunnerSessionTest, EndIsUnrecordedUntilTheLeaderKnowsOfIt) {
  session_.OnTerm(kTerm);
  Announcement draining{"own", kStartUnixMs, 2, "127.0.0.1:3", "s"};
  draining.state = jobs::RunnerState::kDraining;
  Announce(draining);
  ASSERT_TRUE(session_.OnRunnerLeaving("own", now_));
  EXPECT_TRUE(session_.IsEndUnrecorded());
  EXPECT_EQ(VerdictOn(kStart), jobs::OrderVerdict::kRefused);
  const ReportCall call = session_.StartReport(now_);
  EXPECT_EQ(call.report.state, jobs::RunnerState::kGone);
  EXPECT_TRUE(session_.OnReported(call.ticket, jobs::ReportAnswer{kTerm, 0, 0})
                  .is_end_recorded);
  EXPECT_FALSE(session_.IsEndUnrecorded());
}

// Guards against a runner that forgets ends that no store has: a deposed leader
// that still takes itself for the leader has recorded more of them than the
// later one.
TEST_F(RunnerSessionTest, RunnerForgetsNoEndOnTheWordOfADeposedLeader) {
  session_.OnTerm(kTerm);
  Renew(5);
  EXPECT_TRUE(Report({kTerm, 5, 20'000}).is_renewal_due);
  session_.OnTerm(kTerm + 1);  // Orders of the later leader.
  EXPECT_EQ(session_.StartRenewal(now_).request.recorded_ends, 0U);
}

// The same, by an agent that knows only the deposed leader after a restart:
// the runner refuses its calls, and the later leader has recorded fewer ends.
TEST_F(RunnerSessionTest, RestartedAgentUsesNoCountOfADeposedLeader) {
  Report({kTerm, 5, 0});
  EXPECT_TRUE(FailToRenew(RunnerFailure::kSuperseded).is_superseded);
  EXPECT_TRUE(session_.OnLeader({kTerm + 1, "node-2", "127.0.0.1:2"}));
  Report({kTerm + 1, 0, 0});
  EXPECT_TRUE(Renew(5).is_report_due);
  EXPECT_TRUE(Report({kTerm + 1, 3, 0}).is_renewal_due);
  EXPECT_EQ(session_.StartRenewal(now_).request.recorded_ends, 3U);
}

// An end that a runner has dropped need not be recorded again.
TEST_F(RunnerSessionTest, NeverTellsTheRunnerALowerCountAgain) {
  session_.OnTerm(kTerm);
  Renew(5);
  Report({kTerm, 4, 20'000});
  Renew(5);  // Tells it.
  session_.OnTerm(kTerm + 1);
  EXPECT_EQ(session_.StartRenewal(now_).request.recorded_ends, 4U);
  Report({kTerm + 1, 2, 20'000});
  EXPECT_EQ(session_.StartRenewal(now_).request.recorded_ends, 4U);
}

// A call that is not answered may not have told the runner anything.
TEST_F(RunnerSessionTest, UnansweredCallHasNotToldTheRunner) {
  session_.OnTerm(kTerm);
  Renew(5);
  Report({kTerm, 4, 20'000});
  FailToRenew(RunnerFailure::kUnanswered);
  session_.OnTerm(kTerm + 1);
  Renew(5);
  EXPECT_EQ(session_.StartRenewal(now_).request.recorded_ends, 0U);
}

// Guards against a runner that started again under its name and forgets ends of
// its own, since those of the process before had the same numbers. A call of an
// earlier term may be refused by either process.
TEST_F(RunnerSessionTest, RestartedRunnerForgetsNoEndOfItsOwnOnceItRefuses) {
  session_.OnTerm(kTerm);
  Renew(5);
  Report({kTerm, 4, 20'000});
  FailToRenew(RunnerFailure::kUnanswered);
  FailToRenew(RunnerFailure::kSuperseded);
  EXPECT_EQ(session_.StartRenewal(now_).request.recorded_ends, 0U);
  Renew(5);
  EXPECT_EQ(session_.StartRenewal(now_).request.recorded_ends, 4U);
}

// The same, by an agent that was held up between two calls, so that none broke.
TEST_F(RunnerSessionTest, RestartedRunnerForgetsNoEndOfItsOwnAfterAPause) {
  session_.OnTerm(kTerm);
  Renew(5);
  Report({kTerm, 4, 20'000});
  now_ += milliseconds(1501);
  EXPECT_EQ(session_.StartRenewal(now_).request.recorded_ends, 0U);
  Renew(5);
  EXPECT_EQ(session_.StartRenewal(now_).request.recorded_ends, 4U);
}

// Guards against a task that runs twice: after a call that nobody answered, the
// next one may reach a later process of the runner, which takes the lease on
// its own clock.
TEST_F(RunnerSessionTest, ProcessThatDoesNotAnswerGetsNoLease) {
  Report({kTerm, 0, 20'000});
  Renew();
  ASSERT_TRUE(session_.StartRenewal(now_).request.lease_until_ms);
  FailToRenew(RunnerFailure::kUnanswered);
  ASSERT_TRUE(session_.HasLease(now_));
  EXPECT_EQ(VerdictOn(kStart), jobs::OrderVerdict::kLeaseExpired);
  EXPECT_FALSE(session_.StartRenewal(now_).request.lease_until_ms);
  Renew();
  EXPECT_EQ(VerdictOn(kStart), std::nullopt);
  EXPECT_TRUE(session_.StartRenewal(now_).request.lease_until_ms);
}

// The same after the agent was frozen, during which its runner may have started
// again.
TEST_F(RunnerSessionTest, ProcessThatHasNotAnsweredForLongGetsNoLease) {
  Report({kTerm, 0, 20'000});
  Renew();
  now_ += milliseconds(1600);
  ASSERT_TRUE(session_.HasLease(now_));
  EXPECT_EQ(VerdictOn(kStart), jobs::OrderVerdict::kLeaseExpired);
  EXPECT_FALSE(session_.StartRenewal(now_).request.lease_until_ms);
}

// The following guard against a task that runs twice: a start that was held up
// on its way, after the task was done, or a lease is carried out by a later
// process of the runner.
TEST_F(RunnerSessionTest, NextProcessIsCalledWithAHigherToken) {
  Report({kTerm, 0, 20'000});
  Renew();
  const FencingToken last = session_.NextFencingToken(now_);
  EXPECT_EQ(session_.NextFencingToken(now_), last);
  ASSERT_EQ(Announce({"own", kStartUnixMs + 1, 1, "127.0.0.1:3", "s"}),
            AnnouncementVerdict::kStarted);
  EXPECT_GT(session_.NextFencingToken(now_), last);
}

TEST_F(RunnerSessionTest, CallAfterAFailureHasAHigherToken) {
  Report({kTerm, 0, 20'000});
  Renew();
  for (const auto failure :
       {RunnerFailure::kUnanswered, RunnerFailure::kNotListening,
        RunnerFailure::kOtherIncarnation, RunnerFailure::kSuperseded}) {
    const FencingToken last = session_.NextFencingToken(now_);
    FailToRenew(failure);
    const FencingToken next = session_.NextFencingToken(now_);
    EXPECT_GT(next, last);
    // Calls to a process that may not be the announced one grant nothing.
    FailToRenew(failure);
    EXPECT_EQ(session_.NextFencingToken(now_), next);
    Renew();
    EXPECT_EQ(session_.NextFencingToken(now_), next);
  }
}

TEST_F(RunnerSessionTest, CallAfterAPauseHasAHigherToken) {
  Report({kTerm, 0, 20'000});
  Renew();
  const FencingToken last = session_.NextFencingToken(now_);
  now_ += milliseconds(1600);
  EXPECT_GT(session_.NextFencingToken(now_), last);
}

TEST_F(RunnerSessionTest, ProcessThatAnswersInPlaceIsCalledAgainAtOnce) {
  Report({kTerm, 0, 20'000});
  RenewAs(kStartUnixMs);
  const FencingToken last = session_.NextFencingToken(now_);
  EXPECT_EQ(RenewAs(kStartUnixMs + 1).next_renewal, milliseconds(0));
  EXPECT_GT(session_.NextFencingToken(now_), last);
  EXPECT_EQ(RenewAs(kStartUnixMs + 1).next_renewal, RunnerSession::kRetryDelay);
}

// The agent doesn't know which calls the one before it has made.
TEST_F(RunnerSessionTest, RunnerIsNotCalledBeforeALeaderHasAnswered) {
  session_.OnTerm(kTerm);
  EXPECT_FALSE(session_.CanCallRunner());
  EXPECT_EQ(VerdictOn(jobs::StopOrder{kTask, 1}), jobs::OrderVerdict::kRefused);
  EXPECT_TRUE(Report({kTerm, 0, 0, 1024}).is_renewal_due);
  EXPECT_TRUE(session_.CanCallRunner());
  EXPECT_EQ(VerdictOn(jobs::StopOrder{kTask, 1}), std::nullopt);
  EXPECT_EQ(session_.NextFencingToken(now_), (FencingToken{kTerm, 1024}));
  EXPECT_EQ(session_.StartReport(now_).report.call_epoch, 1024U);
}

TEST_F(RunnerSessionTest, TokenRisesWithTheTerm) {
  Report({kTerm, 0, 0, 7});
  const FencingToken last = session_.NextFencingToken(now_);
  Report({kTerm + 1, 0, 0, 0});
  EXPECT_GT(session_.NextFencingToken(now_), last);
  EXPECT_GT(session_.NextFencingToken(now_).value(), last.value());
}

// Guards against a runner that refuses all calls until the next election, since
// the leader doesn't know how far the agent before had come.
TEST_F(RunnerSessionTest, AgentThatIsFencedOffAdvancesOnceALeaderTakesReports) {
  Report({kTerm, 0, 0});
  FailToRenew(RunnerFailure::kSuperseded);
  const FencingToken refused = session_.NextFencingToken(now_);
  session_.OnReported(session_.StartReport(now_).ticket, std::nullopt);
  EXPECT_EQ(session_.NextFencingToken(now_), refused);
  Report({kTerm, 0, 0});
  const FencingToken next = session_.NextFencingToken(now_);
  EXPECT_GT(next, refused);
  Report({kTerm, 0, 0});
  EXPECT_EQ(session_.NextFencingToken(now_), next);
}

// Guards against a runner that isn't followed since its VM's time of day was
// set back before it started again under its name.
TEST_F(RunnerSessionTest,
       FollowsTheProcessThatAnswersAlthoughItStartedEarlier) {
  const Announcement late{"own", kStartUnixMs - 500, 9, "127.0.0.1:3", "s"};
  const Announcement later{"own", kStartUnixMs - 100, 1, "127.0.0.1:3", "s"};
  session_.OnTerm(kTerm);
  LeaseRenewalResponse response;
  response.start_unix_ms = later.start_unix_ms;
  session_.OnLeaseRenewed(session_.StartRenewal(now_), response, now_);
  EXPECT_EQ(Announce(late), AnnouncementVerdict::kNotNewer);
  EXPECT_EQ(Announce(later), AnnouncementVerdict::kStarted);
  EXPECT_EQ(session_.incarnation().start_unix_ms, later.start_unix_ms);
}

// Guards against a runner whose tasks run twice: a late announcement of the
// process before, which started later by the time of day, replaced the one that
// holds them.
TEST_F(RunnerSessionTest, LateAnnouncementOfAReplacedProcessIsIgnored) {
  const Announcement replaced{"own", kStartUnixMs, 9, "127.0.0.1:3", "s"};
  const Announcement later{"own", kStartUnixMs - 100, 1, "127.0.0.1:3", "s"};
  session_.OnTerm(kTerm);
  LeaseRenewalResponse response;
  response.start_unix_ms = later.start_unix_ms;
  session_.OnLeaseRenewed(session_.StartRenewal(now_), response, now_);
  ASSERT_EQ(Announce(later), AnnouncementVerdict::kStarted);
  EXPECT_EQ(Announce(replaced), AnnouncementVerdict::kNotNewer);
  // Unless it is the one that answers.
  response.start_unix_ms = replaced.start_unix_ms;
  session_.OnLeaseRenewed(session_.StartRenewal(now_), response, now_);
  EXPECT_EQ(Announce(replaced), AnnouncementVerdict::kStarted);
}

TEST_F(RunnerSessionTest, FollowsTheProcessAfterOneThatHasEnded) {
  const Announcement later{"own", kStartUnixMs - 100, 1, "127.0.0.1:3", "s"};
  FailToRenew(RunnerFailure::kNotListening);
  ASSERT_FALSE(session_.OnRunnerLeaving("own", now_));
  FailToRenew(RunnerFailure::kNotListening);
  ASSERT_FALSE(session_.IsRunnerUp());
  EXPECT_EQ(Announce({"own", kStartUnixMs, 1, "127.0.0.1:3", "s"}),
            AnnouncementVerdict::kNotNewer);
  EXPECT_EQ(Announce(later), AnnouncementVerdict::kStarted);
}

// While nothing has ended the announced process, one that started earlier may
// be a late announcement of the one before it. It is followed once it answers.
TEST_F(RunnerSessionTest, RefusedConnectionsDoNotBringAnEarlierProcessBack) {
  const Announcement later{"own", kStartUnixMs - 100, 1, "127.0.0.1:3", "s"};
  session_.OnTerm(kTerm);
  FailToRenew(RunnerFailure::kNotListening);
  FailToRenew(RunnerFailure::kNotListening);
  EXPECT_EQ(Announce(later), AnnouncementVerdict::kNotNewer);
  RenewAs(later.start_unix_ms);
  EXPECT_EQ(Announce(later), AnnouncementVerdict::kStarted);
}

// Guards against a task that waits for ever for an end that can't be decoded:
// the runner gets no further lease once its lists are old.
TEST_F(RunnerSessionTest, ListWithAnUnreadableEndIsNotANewOne) {
  Renew(1);
  const int64_t listed_at_ms = session_.StartReport(now_).report.listed_at_ms;
  session_.OnLeader({kTerm + 1, "node-1", "127.0.0.1:1"});
  now_ += seconds(1);
  LeaseRenewalResponse response;
  response.ended = Ends(2);
  response.has_all_ends = false;
  response.has_unreadable_end = true;
  const RenewalOutcome outcome =
      session_.OnLeaseRenewed(session_.StartRenewal(now_), response, now_);
  EXPECT_TRUE(outcome.is_report_due);
  const jobs::RunnerReport report = session_.StartReport(now_).report;
  EXPECT_EQ(report.listed_at_ms, listed_at_ms);
  EXPECT_EQ(report.ended, Ends(2));
  EXPECT_FALSE(report.has_all_ends);
}

// What another process answered counts until the announced one answers again.
TEST_F(RunnerSessionTest, ProcessThatAnswersAgainIsNotReplaced) {
  const int64_t start_unix_ms = kStartUnixMs - 100;
  RenewAs(start_unix_ms);
  RenewAs(kStartUnixMs);
  EXPECT_EQ(Announce({"own", start_unix_ms, 1, "127.0.0.1:3", "s"}),
            AnnouncementVerdict::kNotNewer);
}

// Guards against a count for which there can be no reason: the leader has been
// told of three ends.
TEST_F(RunnerSessionTest, IgnoresACountOfEndsThatItHasNotReported) {
  Report({kTerm, 0, 0});
  Renew(3);
  const ReportOutcome outcome = Report({kTerm, 4, 20'000});
  EXPECT_TRUE(outcome.is_accepted);
  EXPECT_FALSE(outcome.is_renewal_due);
  EXPECT_EQ(outcome.ignored_ends, 4U);
  EXPECT_EQ(session_.StartRenewal(now_).request.recorded_ends, 0U);
  EXPECT_TRUE(session_.HasLease(now_));
  // Said once.
  EXPECT_EQ(Report({kTerm, 4, 20'000}).ignored_ends, std::nullopt);
  EXPECT_EQ(Report({kTerm, UINT64_MAX, 20'000}).ignored_ends, UINT64_MAX);
  EXPECT_TRUE(Report({kTerm, 3, 20'000}).is_renewal_due);
  EXPECT_EQ(session_.StartRenewal(now_).request.recorded_ends, 3U);
}

// What a leader has recorded stays so within its term, although its answers
// overtake each other and the runner no longer lists it.
TEST_F(RunnerSessionTest, CountsEndsOfEarlierReportsWithinATerm) {
  session_.OnTerm(kTerm);
  Renew(3);
  EXPECT_TRUE(Report({kTerm, 2, 20'000}).is_renewal_due);
  Renew();
  EXPECT_EQ(Report({kTerm, 3, 20'000}).ignored_ends, std::nullopt);
  Report({kTerm, 1, 20'000});
  EXPECT_EQ(session_.StartRenewal(now_).request.recorded_ends, 3U);
}

TEST_F(RunnerSessionTest, IsTheSameAfterACopy) {
  Report({kTerm, 0, 12'000});
  Renew(2);
  RunnerSession copy = session_;
  EXPECT_EQ(copy.StartReport(now_), session_.StartReport(now_));
  copy = session_;
  EXPECT_EQ(copy.StartRenewal(now_), session_.StartRenewal(now_));
}

}  // namespace
}  // namespace papayadrift::cluster
