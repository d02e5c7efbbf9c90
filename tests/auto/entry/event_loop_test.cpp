#include "entry/event_loop.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <vector>

namespace papayadrift::entry {
namespace {

TEST(EventLoopTest, RunsTasksInOrder) {
  const SystemClock clock;
  EventLoop loop(clock);
  std::vector<int> ran;
  std::promise<void> done;
  for (int i = 0; i < 100; ++i) {
    loop.Post([&ran, i] { ran.push_back(i); });
  }
  loop.Post([&done] { done.set_value(); });
  done.get_future().wait();
  ASSERT_EQ(ran.size(), 100u);
  EXPECT_TRUE(std::ranges::is_sorted(ran));
}

TEST(EventLoopTest, RunsLaterTasksByTheirInstant) {
  const SystemClock clock;
  EventLoop loop(clock);
  const Instant now = clock.Now();
  std::vector<int> ran;
  std::promise<void> done;
  loop.PostAt(now + milliseconds(20), [&] {
    ran.push_back(2);
    done.set_value();
  });
  loop.PostAt(now + milliseconds(1), [&] { ran.push_back(1); });
  done.get_future().wait();
  EXPECT_EQ(ran, (std::vector<int>{1, 2}));
}

TEST(EventLoopTest, NothingRunsAfterStop) {
  const SystemClock clock;
  EventLoop loop(clock);
  std::atomic<int> ran = 0;
  loop.PostAt(clock.Now() + seconds(3600), [&] { ++ran; });
  loop.Stop();
  loop.Post([&] { ++ran; });
  EXPECT_EQ(ran, 0);
}

}  // namespace
}  // namespace papayadrift::entry
