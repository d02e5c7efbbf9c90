#include "routing/slot_account.h"

#include <atomic>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace papayadrift::routing {
namespace {

RC_GTEST_PROP(SlotAccountTest, NothingIsTakenAboveTheShare, ()) {
  SlotAccount account;
  int in_use = 0;
  for (const int step :
       *rc::gen::container<std::vector<int>>(rc::gen::inRange(-3, 10))) {
    if (step >= 3) {
      account.Allow({step});
    } else if (step < 0 && in_use > 0) {
      account.GiveBack();
      --in_use;
    } else if (step >= 0) {
      const bool had_room = in_use < account.share();
      RC_ASSERT(account.TryTake(Instant()) == had_room);
      in_use += had_room ? 1 : 0;
    }
    RC_ASSERT(account.in_use() == in_use);
  }
}

TEST(SlotAccountTest, NothingIsTakenAfterTheEndOfTheAllowance) {
  SlotAccount account;
  const Instant end(seconds(100));
  account.Allow({2, end});
  EXPECT_TRUE(account.TryTake(end - milliseconds(1)));
  EXPECT_FALSE(account.TryTake(end));
  EXPECT_FALSE(account.HasFree(end + seconds(3600)));
  account.Allow({2, end + milliseconds(1)});
  EXPECT_TRUE(account.TryTake(end));
  // The end may lie where the bits that are kept begin anew.
  const Instant wrap(milliseconds(int64_t{1} << 32));
  account.Allow({3, wrap});
  EXPECT_TRUE(account.TryTake(wrap - milliseconds(2)));
  EXPECT_FALSE(account.TryTake(wrap));
}

TEST(SlotAccountTest, AnAllowanceBelowTheUseIsRefusedIfTried) {
  SlotAccount account;
  account.Allow({3});
  EXPECT_TRUE(account.TryTake(Instant()));
  EXPECT_TRUE(account.TryTake(Instant()));
  EXPECT_FALSE(account.TryAllow({1}));
  EXPECT_EQ(account.share(), 3);
  EXPECT_TRUE(account.TryAllow({2}));
  EXPECT_FALSE(account.TryTake(Instant()));
  EXPECT_EQ(account.in_use(), 2);
}

TEST(SlotAccountTest, ThreadsTogetherStayWithinALoweredShare) {
  SlotAccount account;
  account.Allow({4});
  std::atomic<bool> is_lowered = false;
  std::atomic<int> violations = 0;
  const auto work = [&] {
    for (int it = 0; it < 20'000; ++it) {
      const bool was_lowered = is_lowered.load();
      if (!account.TryTake(Instant())) {
        continue;
      }
      // A slot taken after the share fell counts against the new share.
      violations += was_lowered && account.in_use() > 2 ? 1 : 0;
      account.GiveBack();
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int it = 0; it < 4; ++it) {
    threads.emplace_back(work);
  }
  account.Allow({2});
  is_lowered = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(violations, 0);
  EXPECT_EQ(account.in_use(), 0);
  EXPECT_EQ(account.share(), 2);
}

}  // namespace
}  // namespace papayadrift::routing
