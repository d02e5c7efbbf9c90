#include "keyed_log/answer_limit.h"

#include <gtest/gtest.h>

namespace papayadrift::keyed_log {
namespace {

TEST(AnswerLimitTest, RisesWithASlowStoreAndFallsAgain) {
  AnswerLimit limit;
  const milliseconds calm = limit.Current();
  for (int i = 0; i < 20; ++i) {
    limit.OnAnswer(milliseconds(240));
  }
  EXPECT_GE(limit.Current(), milliseconds(480));
  for (int i = 0; i < 100; ++i) {
    limit.OnAnswer(milliseconds(4));
  }
  EXPECT_LE(limit.Current(), calm);
}

// Guards against a process short of processor time that takes answers which
// wait in its own event loop for an outage of the store.
TEST(AnswerLimitTest, AllowsForTheTurnsOfASlowProcess) {
  AnswerLimit limit;
  const milliseconds prompt = limit.Current();
  limit.OnTurn(microseconds(200));
  EXPECT_EQ(limit.Current(), prompt);
  limit.OnTurn(milliseconds(100));
  EXPECT_EQ(limit.Current(), prompt + milliseconds(400));
  limit.OnTurn(milliseconds(1));
  EXPECT_GT(limit.Current(), prompt + milliseconds(300));
  for (int i = 0; i < 100; ++i) {
    limit.OnTurn(microseconds(200));
  }
  EXPECT_EQ(limit.Current(), prompt);
  limit.OnTurn(milliseconds(10'000));
  EXPECT_EQ(limit.Current(), prompt + milliseconds(1000));
}

// Guards against an outage that is found late since the process was frozen
// before it, and calls seldom.
TEST(AnswerLimitTest, AFreezeIsForgottenAfterSomeCalls) {
  AnswerLimit limit;
  const milliseconds prompt = limit.Current();
  limit.OnTurn(milliseconds(10'000));
  for (int i = 0; i < 10; ++i) {
    limit.OnTurn(microseconds(200));
  }
  EXPECT_LT(limit.Current(), prompt + milliseconds(500));
}

TEST(AnswerLimitTest, DoublesWhileNothingComes) {
  AnswerLimit limit;
  const milliseconds first = limit.Current();
  limit.OnTimeout();
  EXPECT_EQ(limit.Current(), first * 2);
  for (int i = 0; i < 20; ++i) {
    limit.OnTimeout();
  }
  EXPECT_EQ(limit.Current(), milliseconds(1000));
}

}  // namespace
}  // namespace papayadrift::keyed_log
