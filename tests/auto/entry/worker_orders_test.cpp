#include "entry/worker_orders.h"

#include <gtest/gtest.h>

namespace papayadrift::entry {
namespace {

using worker_protocol::AttemptReport;
using worker_protocol::Order;

const replay::WorkerKey kWorker{WorkerId("w"), Incarnation(1)};
const TaskId kTask{JobId("j"), 0};
const Resources kGrant{1000, 100, 0};

// A region with one entry, one worker and one job, whose task was claimed.
class WorkerOrdersTest : public testing::Test {
 protected:
  WorkerOrdersTest() {
    Apply(records::EntryJoined{EntryId("e"), Incarnation(1), ZoneId("z"),
                               "1.1.1.1:1", "1.1.1.1:2"});
    Apply(records::WorkerAnnounced{WorkerId("w"),
                                   Incarnation(1),
                                   ZoneId("z"),
                                   RackId("r"),
                                   "1.1.1.2:1",
                                   {8000, 1000, 0},
                                   {},
                                   false});
    records::JobSubmitted job;
    job.job = JobId("j");
    job.team = TeamId("t");
    job.kind = KindId("k");
    job.tasks = 1;
    job.declared = kGrant;
    job.is_checkpointable = true;
    Apply(job);
    Apply(records::TaskClaimed{kTask, Attempt(1), WorkerId("w"), Incarnation(1),
                               kGrant, CheckpointId()});
  }

  void Apply(records::Record record) {
    const Offset offset = state_.next_offset();
    const records::ProposalId id{EntryId("e"), Incarnation(1), ++sequence_};
    const replay::Verdict verdict = state_.Apply(
        offset, 0, {id, Offset(offset.value() + 100), std::move(record)});
    ASSERT_TRUE(verdict.is_accepted())
        << (verdict.rejection() ? ToText(*verdict.rejection()) : "");
    state_.Complete(offset);
  }

  AttemptReport Running() const {
    AttemptReport report;
    report.task = kTask;
    report.attempt = Attempt(1);
    report.token = state_.jobs().FindTask(kTask)->token;
    report.grant = kGrant;
    return report;
  }

  std::vector<Order> Orders(const std::vector<AttemptReport>& reports,
                            const LowerGrants& lower = {}) const {
    return OrdersFor(state_, kWorker, reports, lower);
  }

  replay::DecisionState state_;
  uint64_t sequence_ = 0;
};

TEST_F(WorkerOrdersTest, UnreportedClaimIsStartedAndMeetingItLeavesNone) {
  const auto orders = Orders({});
  ASSERT_EQ(orders.size(), 1u);
  const auto& start = std::get<worker_protocol::StartOrder>(orders[0]);
  EXPECT_EQ(start.task, kTask);
  EXPECT_EQ(start.token, Running().token);
  EXPECT_TRUE(Orders({Running()}).empty());
}

TEST_F(WorkerOrdersTest, WhatReplayDoesNotKnowIsStopped) {
  AttemptReport stale = Running();
  stale.token = FencingToken(1);
  const auto orders = Orders({stale});
  ASSERT_FALSE(orders.empty());
  EXPECT_TRUE(
      std::holds_alternative<worker_protocol::StopOrder>(orders.front()));
}

TEST_F(WorkerOrdersTest, EvictionAsksForACheckpoint) {
  Apply(records::EvictionRequested{kTask, Attempt(1)});
  const auto orders = Orders({Running()});
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_TRUE(
      std::holds_alternative<worker_protocol::CheckpointOrder>(orders[0]));
}

TEST_F(WorkerOrdersTest, CancelledJobIsStoppedWithoutACheckpoint) {
  Apply(records::JobCancelled{JobId("j")});
  const auto orders = Orders({Running()});
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_TRUE(std::holds_alternative<worker_protocol::StopOrder>(orders[0]));
}

TEST_F(WorkerOrdersTest, EndIsForgottenOnlyOnceItIsRecorded) {
  AttemptReport ended = Running();
  ended.has_ended = true;
  EXPECT_TRUE(Orders({ended}).empty());
  Apply(records::TaskEnded{kTask, Attempt(1), records::TaskEnding::kFinished,
                           CheckpointId()});
  const auto orders = Orders({ended});
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_TRUE(std::holds_alternative<worker_protocol::ForgetOrder>(orders[0]));
}

TEST_F(WorkerOrdersTest, LowerGrantIsOrderedBeforeItIsRecorded) {
  const Resources lower{500, 100, 0};
  const auto orders = Orders({Running()}, {{kTask, lower}});
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_EQ(std::get<worker_protocol::GrantOrder>(orders[0]).grant, lower);
}

TEST_F(WorkerOrdersTest, LapsedWorkerGetsNoStart) {
  Apply(records::WorkerLapsed{WorkerId("w"), Incarnation(1)});
  EXPECT_TRUE(Orders({}).empty());
}

}  // namespace
}  // namespace papayadrift::entry
