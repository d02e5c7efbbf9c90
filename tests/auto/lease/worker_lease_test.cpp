#include "lease/worker_lease.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayadrift::lease {
namespace {

constexpr Incarnation kIncarnation(4);

Instant At(int64_t n) {
  return Instant(milliseconds(n));
}

LeaseAnswer Answer(uint64_t sequence, int64_t renewal, uint64_t state = 1) {
  return {sequence, kIncarnation, milliseconds(renewal), Offset(state)};
}

TEST(WorkerLeaseTest, RunsFromHeartbeatSendTime) {
  WorkerLease lease(kIncarnation);
  lease.OnHeartbeatSent(1, At(0));
  lease.OnAnswer(Answer(1, 100), At(90));
  EXPECT_TRUE(lease.IsLive(At(99)));
  EXPECT_FALSE(lease.IsLive(At(100)));
}

TEST(WorkerLeaseTest, LateAnswerExtendsNothingAndOrdersAreIgnored) {
  WorkerLease lease(kIncarnation);
  lease.OnHeartbeatSent(1, At(0));
  lease.OnAnswer(Answer(1, 100), At(150));
  EXPECT_FALSE(lease.IsLive(At(150)));
  EXPECT_FALSE(lease.MayFollowOrders(At(150)));
  EXPECT_EQ(lease.last_reason(), AnswerRefusal::kLeaseNotLive);
}

TEST(WorkerLeaseTest, RefusesOtherIncarnationAndRepeatedAnswers) {
  WorkerLease lease(kIncarnation);
  lease.OnHeartbeatSent(1, At(0));
  LeaseAnswer answer = Answer(1, 100);
  answer.incarnation = Incarnation(3);
  lease.OnAnswer(answer, At(1));
  EXPECT_EQ(lease.last_reason(), AnswerRefusal::kOtherIncarnation);
  lease.OnAnswer(Answer(1, 100), At(2));
  lease.OnAnswer(Answer(1, 500), At(3));
  EXPECT_EQ(lease.last_reason(), AnswerRefusal::kUnknownHeartbeat);
  EXPECT_EQ(lease.live_until(), At(100));
}

TEST(WorkerLeaseTest, OrdersOfAnOlderStateAreIgnored) {
  WorkerLease lease(kIncarnation);
  lease.OnHeartbeatSent(1, At(0));
  lease.OnHeartbeatSent(2, At(10));
  lease.OnAnswer(Answer(1, 100, 7), At(20));
  EXPECT_TRUE(lease.MayFollowOrders(At(20)));
  lease.OnAnswer(Answer(2, 100, 6), At(30));
  EXPECT_FALSE(lease.MayFollowOrders(At(30)));
  EXPECT_EQ(lease.last_reason(), AnswerRefusal::kOldState);
}

TEST(WorkerLeaseTest, NothingStartsAfterLapseUntilStopped) {
  WorkerLease lease(kIncarnation);
  lease.OnHeartbeatSent(1, At(0));
  lease.OnAnswer(Answer(1, 100), At(1));
  lease.OnHeartbeatSent(2, At(90));
  lease.OnAnswer(Answer(2, 100), At(120));
  EXPECT_TRUE(lease.must_stop());
  EXPECT_FALSE(lease.MayFollowOrders(At(121)));
  lease.OnStopped();
  EXPECT_TRUE(lease.MayFollowOrders(At(122)));
}

RC_GTEST_PROP(WorkerLeaseTest, NeverRunsBeyondAnAnsweredHeartbeat, ()) {
  WorkerLease lease(kIncarnation);
  int64_t now = 0;
  uint64_t sequence = 0;
  int64_t bound = 0;
  std::vector<int64_t> sent = {0};
  for (int i = 0; i < 50; ++i) {
    now += *rc::gen::inRange(0, 40);
    if (*rc::gen::arbitrary<bool>()) {
      sent.push_back(now);
      lease.OnHeartbeatSent(++sequence, At(now));
    } else {
      const auto n = *rc::gen::inRange<uint64_t>(0, sequence + 2);
      lease.OnAnswer(Answer(n, 100), At(now));
      bound = n == 0 || n > sequence ? bound : std::max(bound, sent[n] + 100);
    }
    RC_ASSERT(!lease.IsLive(At(bound)));
  }
}

}  // namespace
}  // namespace papayadrift::lease
