#include "process/signal_waiter.h"

#include <gtest/gtest.h>
#include <signal.h>
#include <unistd.h>

#include <future>

namespace papayadrift::process {
namespace {

TEST(SignalWaiterTest, RunsTheActionOnSigterm) {
  SignalWaiter waiter;
  std::promise<void> told;
  waiter.OnSignal([&] { told.set_value(); });
  kill(getpid(), SIGTERM);
  told.get_future().wait();
}

TEST(SignalWaiterTest, ASignalBeforeTheActionIsNotLost) {
  SignalWaiter waiter;
  std::promise<void> first;
  waiter.OnSignal([&] { first.set_value(); });
  kill(getpid(), SIGINT);
  first.get_future().wait();
  int told = 0;
  waiter.OnSignal([&] { ++told; });
  EXPECT_EQ(told, 1);
}

TEST(SignalWaiterTest, EndsWithoutASignalAndIgnoresOthers) {
  int told = 0;
  {
    SignalWaiter waiter;
    waiter.OnSignal([&] { ++told; });
    kill(getpid(), SIGUSR1);
  }
  EXPECT_EQ(told, 0);
}

}  // namespace
}  // namespace papayadrift::process
