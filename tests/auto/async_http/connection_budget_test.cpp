#include "async_http/connection_budget.h"

#include <gtest/gtest.h>

#include <vector>

namespace papayadrift::async_http {
namespace {

using Id = ConnectionBudget::Id;

constexpr size_t kPlaces = 8;
constexpr size_t kBytes = 1 << 20;
constexpr milliseconds kLong(5000);

class ConnectionBudgetTest : public testing::Test {
 protected:
  Id AddKept() {
    const Id id = budget_.Add(now_);
    budget_.BeginHandling(id);
    budget_.BeginWriting(id, now_);
    budget_.BeginWaiting(id, now_);
    return id;
  }
  Id AddWithBytes(size_t bytes) {
    const Id id = budget_.Add(now_);
    budget_.BeginMessage(id, now_);
    budget_.SetBytes(id, bytes);
    return id;
  }
  void Pass(milliseconds time) { now_ += time; }

  ConnectionBudget budget_{ConnectionLimits{kPlaces, kBytes}};
  Instant now_{kLong};
};

// Guards against a full listener that closes all new connections, those of
// ordinary callers included.
TEST_F(ConnectionBudgetTest, LongestWaitGoesForANewCaller) {
  std::vector<Id> ids;
  while (!budget_.is_full()) {
    ids.push_back(budget_.Add(now_));
    Pass(milliseconds(1));
  }
  EXPECT_EQ(ids.size(), kPlaces);
  EXPECT_EQ(budget_.ChooseForPlace(now_), ids[0]);
  budget_.Remove(ids[0]);
  EXPECT_FALSE(budget_.is_full());
}

// Guards against clients that keep their place with a byte now and then.
TEST_F(ConnectionBudgetTest, BytesDoNotShortenTheWait) {
  const Id trickling = budget_.Add(now_);
  Pass(milliseconds(100));
  budget_.Add(now_);
  budget_.SetBytes(trickling, 10);
  EXPECT_EQ(budget_.ChooseForPlace(now_), trickling);
}

// Guards against the loss of a request that may have run.
TEST_F(ConnectionBudgetTest, HandledRequestsAreNeverChosen) {
  for (size_t i = 0; i < kPlaces; ++i) {
    const Id id = budget_.Add(now_);
    budget_.SetBytes(id, kBytes);
    budget_.BeginHandling(id);
  }
  Pass(kLong);
  EXPECT_TRUE(budget_.is_full());
  EXPECT_TRUE(budget_.is_over_bytes());
  EXPECT_EQ(budget_.ChooseForPlace(now_), std::nullopt);
  EXPECT_EQ(budget_.ChooseForBytes(now_), std::nullopt);
}

// Guards against responses that hold memory since nobody reads them, and
// against the loss of one that has just begun.
TEST_F(ConnectionBudgetTest, UnreadResponseGoesAfterAWhile) {
  const Id id = budget_.Add(now_);
  budget_.BeginHandling(id);
  budget_.SetBytes(id, kBytes);
  budget_.BeginWriting(id, now_);
  EXPECT_EQ(budget_.ChooseForPlace(now_), std::nullopt);
  EXPECT_EQ(budget_.ChooseForBytes(now_), std::nullopt);
  Pass(kLong);
  EXPECT_EQ(budget_.ChooseForPlace(now_), id);
  EXPECT_EQ(budget_.ChooseForBytes(now_), id);
}

// Guards against a crowd of unfinished requests that closes the kept-alive
// connections of ordinary callers.
TEST_F(ConnectionBudgetTest, CrowdOfNewOnesGoesBeforeKeptOnes) {
  const Id kept = AddKept();
  Pass(milliseconds(1));
  const Id first_new = budget_.Add(now_);
  while (!budget_.is_full()) {
    budget_.Add(now_);
  }
  EXPECT_EQ(budget_.ChooseForPlace(now_), first_new);
  EXPECT_NE(first_new, kept);
}

// Guards against kept-alive connections that leave a new caller no time for
// its request: the newest one would always be the only one to close.
TEST_F(ConnectionBudgetTest, AFewNewOnesStayAmongKeptOnes) {
  const Id kept = AddKept();
  for (size_t i = 2; i < kPlaces; ++i) {
    AddKept();
  }
  budget_.Add(now_);
  EXPECT_TRUE(budget_.is_full());
  EXPECT_EQ(budget_.ChooseForPlace(now_), kept);
}

// Guards against an ordinary large request that is closed for the sake of
// slightly smaller ones that are held.
TEST_F(ConnectionBudgetTest, HeldBytesGoBeforeSwiftOnes) {
  const Id swift = AddKept();
  const Id held = AddWithBytes(kBytes / 2);
  Pass(kLong);
  budget_.BeginMessage(swift, now_);
  budget_.SetBytes(swift, kBytes * 3 / 4);
  EXPECT_TRUE(budget_.is_over_bytes());
  EXPECT_EQ(budget_.ChooseForBytes(now_), held);
  budget_.Remove(held);
  EXPECT_FALSE(budget_.is_over_bytes());
}

TEST_F(ConnectionBudgetTest, LargestGoesFirstAmongThoseOfOneAge) {
  AddWithBytes(10);
  const Id largest = AddWithBytes(kBytes);
  AddWithBytes(20);
  EXPECT_EQ(budget_.ChooseForBytes(now_), largest);
}

// Guards against closing all idle connections while handled requests hold the
// memory.
TEST_F(ConnectionBudgetTest, IdleConnectionsStayWhenMemoryRunsOut) {
  AddKept();
  const Id handled = AddWithBytes(2 * kBytes);
  budget_.BeginHandling(handled);
  EXPECT_TRUE(budget_.is_over_bytes());
  EXPECT_EQ(budget_.ChooseForBytes(now_), std::nullopt);
  const Id arriving = AddWithBytes(10);
  EXPECT_EQ(budget_.ChooseForBytes(now_), arriving);
}

TEST_F(ConnectionBudgetTest, RemovedConnectionsHoldNothing) {
  const Id id = AddWithBytes(100);
  EXPECT_EQ(budget_.bytes(), kConnectionBytes + 100);
  budget_.Remove(id);
  budget_.Remove(id);
  EXPECT_EQ(budget_.bytes(), 0U);
  EXPECT_EQ(budget_.connections(), 0U);
  EXPECT_EQ(budget_.ChooseForBytes(now_), std::nullopt);
}

}  // namespace
}  // namespace papayadrift::async_http
