#include <gtest/gtest.h>

#include <cstdint>
#include <string>

#include "search.h"
#include "step.h"
#include "world.h"

namespace papayadrift::run_histories {
namespace {

constexpr uint64_t kSeed = 20261206;
constexpr uint64_t kHistories = 20000;

// Plays the history and lets it end.
void ExpectSound(const History& history) {
  EXPECT_EQ(Play(history, true).violation.value_or(""), "");
}

// Guards against a checker that checks nothing: without faults, jobs are done.
TEST(RunHistoryTest, CalmHistoryIsSound) {
  ExpectSound({
      Submit{0, 0},
      Submit{1, 1},
      Submit{2, 0},
      Pass{milliseconds(4500)},
      Query{0, 1},
      Query{1, 0},
      Cancel{2, 1},
  });
}

// A job was shown as completed before that was stored: the store was cut off
// from the leader, the runner crashed, and the next leader started the task
// again.
TEST(RunHistoryTest, JobIsShownAsCompletedOnceThatIsStored) {
  ExpectSound({
      Submit{0, 0},
      Pass{milliseconds(780)},
      Cut{Link{LinkKind::kStoreWrite, 0}, milliseconds(8000)},
      Pass{milliseconds(120)},
      Query{0, 0},
      Pass{milliseconds(10)},
      CrashRunner{0, false, milliseconds(400)},
      CrashRunner{1, false, milliseconds(400)},
      Pass{milliseconds(9500)},
  });
}

// A runner started again under its name after its VM's time of day had been set
// back: its agent went on with the earlier process, whose lease it gave to the
// later one.
TEST(RunHistoryTest, ProcessAfterAClockWasSetBackGetsNoEarlierLease) {
  ExpectSound({
      Submit{2, 0},
      MoveRunnerClock{0, milliseconds(-1500)},
      FreezeAgent{0, milliseconds(1600)},
      CrashRunner{0, true, milliseconds(400)},
      Pass{milliseconds(7000)},
  });
}

// The same without a lease: the run was stopped in vain for as long as the
// agent did not follow the later process.
TEST(RunHistoryTest, ProcessAfterAClockWasSetBackIsFollowed) {
  ExpectSound({
      Submit{0, 1},
      MoveRunnerClock{1, milliseconds(-1500)},
      Pass{milliseconds(150)},
      CrashRunner{1, true, milliseconds(0)},
  });
}

// Guards against a sound job that is given up after one crash of a runner: each
// of three leaders was told of the crash by the runner's next process and
// counted it.
TEST(RunHistoryTest, CrashCountsOnceAcrossChangesOfLeaders) {
  ExpectSound({
      Submit{2, 0},
      Pass{milliseconds(150)},
      Cut{Link{LinkKind::kStoreRead, 0}, milliseconds(8000)},
      CrashRunner{0, true, milliseconds(0)},
      Pass{milliseconds(400)},
      RestartFront{0},
      Pass{milliseconds(150)},
      Pass{milliseconds(400)},
      Pass{milliseconds(1000)},
      Pass{milliseconds(150)},
      RestartFront{1},
      Pass{milliseconds(500)},
      Query{2, 1},
  });
}

// A start reached its runner again after the task was done, that was noted, and
// the runner had started again under its name: the task ran twice.
TEST(RunHistoryTest, LateStartIsNotCarriedOutByTheNextProcess) {
  for (const bool is_agent_restarted : {false, true}) {
    History history{
        Disturb{Link{LinkKind::kOrder, 0},
                Fault{Fault::Kind::kDelayRequest, milliseconds(5000)}},
        Submit{0, 0},
        Pass{milliseconds(2500)},
        CrashRunner{0, true, milliseconds(400)},
    };
    if (is_agent_restarted) {
      history.emplace_back(RestartAgent{0, milliseconds(0)});
    }
    history.emplace_back(Pass{milliseconds(7000)});
    ExpectSound(history);
  }
}

// The same while the agent is frozen: the start comes before its first call to
// the later process, and brings the lease that it needs.
TEST(RunHistoryTest, LateStartBeforeTheFirstCallIsNotCarriedOut) {
  ExpectSound({
      Disturb{Link{LinkKind::kOrder, 0},
              Fault{Fault::Kind::kDelayRequest, milliseconds(5000)}},
      Submit{0, 0},
      Pass{milliseconds(2500)},
      FreezeAgent{0, milliseconds(4000)},
      CrashRunner{0, true, milliseconds(400)},
      Pass{milliseconds(7000)},
  });
}

// A stopped run stays in the leader's table for as long as the agent waits for
// the answer to a report, which is lost: its timeout has grown to 2.4 s.
TEST(RunHistoryTest, StoppedRunIsReleasedAfterALostAnswer) {
  ExpectSound({
      Submit{2, 1},
      Pass{milliseconds(150)},
      Cut{Link{LinkKind::kReport, 0}, milliseconds(1500)},
      Disturb{Link{LinkKind::kReport, 0},
              Fault{Fault::Kind::kLoseAnswer, milliseconds(0)}},
      Cancel{2, 1},
      Pass{milliseconds(400)},
      Pass{milliseconds(400)},
      Pass{milliseconds(400)},
      Submit{0, 0},
      Pass{milliseconds(2500)},
      Pass{milliseconds(150)},
  });
}

// The following are the shortest histories that the checker finds when a
// mechanism is taken out.

// Guards against a start that is sent before its claim is stored: the next
// leader starts the task again.
TEST(RunHistoryTest, StartWaitsForItsClaimToBeStored) {
  ExpectSound({
      Submit{2, 0},
      Pass{milliseconds(1000)},
      Cut{Link{LinkKind::kStoreWrite, 0}, milliseconds(15000)},
      Pass{milliseconds(150)},
      EndRun{0, jobs::RunEnd::kFailed},
      Pass{milliseconds(9)},
      Pass{milliseconds(1000)},
      Pass{milliseconds(150)},
  });
}

// Guards against a run that is released when its runner starts again under its
// name: the later process may have got the start.
TEST(RunHistoryTest, LaterProcessStopsARunBeforeItsRelease) {
  ExpectSound({
      Submit{2, 0},
      Pass{milliseconds(125)},
      CrashRunner{0, false, milliseconds(400)},
      Pass{milliseconds(20)},
      Pass{milliseconds(400)},
      CrashRunner{1, true, milliseconds(0)},
      Pass{milliseconds(37)},
  });
}

// Guards against a stopped run that is kept: each repeat of the stop made the
// lists too old.
TEST(RunHistoryTest, FirstStopCounts) {
  ExpectSound({
      Submit{1, 0},
      Pass{milliseconds(150)},
      CrashRunner{0, true, milliseconds(0)},
  });
}

// Guards against a cancelled job that starts: a reload reads the cancellation
// first.
TEST(RunHistoryTest, CancellationIsHeardAfterItsJob) {
  ExpectSound({
      Submit{1, 1},
      Pass{milliseconds(150)},
      Cancel{2, 1},
      Submit{2, 0},
      Pass{milliseconds(150)},
      DropHistory{},
      Pass{milliseconds(400)},
      Pass{milliseconds(2500)},
      EndRun{1, jobs::RunEnd::kDone},
      Pass{milliseconds(31)},
  });
}

// Guards against a task that is started again while its run has the lease of
// the last leader.
TEST(RunHistoryTest, LeaseOfTheEarlierLeaderCounts) {
  ExpectSound({
      Submit{2, 1},
      Pass{milliseconds(250)},
      FreezeFront{0, milliseconds(2500)},
      Pass{milliseconds(2500)},
  });
}

// Guards against an end that is forgotten: it was acknowledged before it was
// stored.
TEST(RunHistoryTest, EndIsAcknowledgedOnceStored) {
  ExpectSound({
      Submit{0, 1},
      Pass{milliseconds(150)},
      Cut{Link{LinkKind::kStoreWrite, 0}, milliseconds(600)},
      Pass{milliseconds(3500)},
  });
}

// Guards against a leader that was elected without the latest claims.
TEST(RunHistoryTest, CandidateHasReadAllProgress) {
  ExpectSound({
      Cut{Link{LinkKind::kStoreWrite, 1}, milliseconds(3000)},
      FreezeFront{0, milliseconds(1600)},
      Submit{2, 0},
      Pass{milliseconds(2500)},
      Pass{milliseconds(2500)},
  });
}

// Guards against a run that is released while its start may still arrive.
TEST(RunHistoryTest, RunIsReleasedOnceItsStartsAreVoid) {
  ExpectSound({
      Submit{0, 1},
      Pass{milliseconds(20)},
      Pass{milliseconds(20)},
      Cut{Link{LinkKind::kOrder, 1}, milliseconds(600)},
      Disturb{Link{LinkKind::kOrder, 1},
              Fault{Fault::Kind::kDelayRequest, milliseconds(9000)}},
      Pass{milliseconds(20)},
      Pass{milliseconds(1000)},
      Pass{milliseconds(150)},
      Pass{milliseconds(50)},
      Cut{Link{LinkKind::kOrders, 1}, milliseconds(3000)},
      Pass{milliseconds(1000)},
      Pass{milliseconds(7000)},
      Pass{milliseconds(1000)},
  });
}

TEST(RunHistoryTest, RandomHistoriesAreSound) {
  const SystemClock clock;
  Search search({kSeed, kHistories}, clock);
  if (const auto finding = search.Run()) {
    FAIL() << Describe(*finding);
  }
}

}  // namespace
}  // namespace papayadrift::run_histories
