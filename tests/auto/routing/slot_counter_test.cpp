#include "routing/slot_counter.h"

#include <atomic>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayadrift::routing {
namespace {

RC_GTEST_PROP(SlotCounterTest, NothingIsTakenAboveTheShare, ()) {
  SlotCounter counter;
  int in_use = 0;
  for (const int step :
       *rc::gen::container<std::vector<int>>(rc::gen::inRange(-3, 10))) {
    if (step >= 3) {
      counter.SetLimit({step});
    } else if (step < 0 && in_use > 0) {
      counter.Release();
      --in_use;
    } else if (step >= 0) {
      const bool had_room = in_use < counter.limit();
      RC_ASSERT(counter.TryAcquire(Instant()) == had_room);
      in_use += had_room ? 1 : 0;
    }
    RC_ASSERT(counter.in_use() == in_use);
  }
}

TEST(SlotCounterTest, NothingIsTakenAfterTheEndOfTheAllowance) {
  SlotCounter counter;
  const Instant end(seconds(100));
  counter.SetLimit({2, end});
  EXPECT_TRUE(counter.TryAcquire(end - milliseconds(1)));
  EXPECT_FALSE(counter.TryAcquire(end));
  EXPECT_FALSE(counter.HasFreeSlot(end + seconds(3600)));
  counter.SetLimit({2, end + milliseconds(1)});
  EXPECT_TRUE(counter.TryAcquire(end));
  // The expiry may lie where the stored bits wrap around.
  const Instant wrap(milliseconds(int64_t{1} << 32));
  counter.SetLimit({3, wrap});
  EXPECT_TRUE(counter.TryAcquire(wrap - milliseconds(2)));
  EXPECT_FALSE(counter.TryAcquire(wrap));
}

TEST(SlotCounterTest, AnAllowanceBelowTheUseIsRefusedIfTried) {
  SlotCounter counter;
  counter.SetLimit({3});
  EXPECT_TRUE(counter.TryAcquire(Instant()));
  EXPECT_TRUE(counter.TryAcquire(Instant()));
  EXPECT_FALSE(counter.TrySetLimit({1}));
  EXPECT_EQ(counter.limit(), 3);
  EXPECT_TRUE(counter.TrySetLimit({2}));
  EXPECT_FALSE(counter.TryAcquire(Instant()));
  EXPECT_EQ(counter.in_use(), 2);
}

TEST(SlotCounterTest, ThreadsTogetherStayWithinALoweredShare) {
  SlotCounter counter;
  counter.SetLimit({4});
  std::atomic<bool> is_lowered = false;
  std::atomic<int> violations = 0;
  const auto work = [&] {
    for (int it = 0; it < 20'000; ++it) {
      const bool was_lowered = is_lowered.load();
      if (!counter.TryAcquire(Instant())) {
        continue;
      }
      // A slot acquired after the limit was lowered counts against the new
      // limit.
      violations += was_lowered && counter.in_use() > 2 ? 1 : 0;
      counter.Release();
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int it = 0; it < 4; ++it) {
    threads.emplace_back(work);
  }
  counter.SetLimit({2});
  is_lowered = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(violations, 0);
  EXPECT_EQ(counter.in_use(), 0);
  EXPECT_EQ(counter.limit(), 2);
}

}  // namespace
}  // namespace papayadrift::routing
