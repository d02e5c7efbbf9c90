#include <gtest/gtest.h>

#include <atomic>
#include <thread>
#include <vector>

#include "guard/identity_memory.h"
#include "guard/slot_gate.h"

namespace papayadrift::guard {
namespace {

constexpr int kThreads = 8;

TEST(IdentityMemoryTest, OfConcurrentCallsOneIsTheFirst) {
  IdentityMemory memory(64);
  for (int round = 0; round < 200; ++round) {
    std::atomic<int> first = 0;
    std::vector<std::thread> threads;
    for (int i = 0; i < kThreads; ++i) {
      threads.emplace_back([&] {
        first += memory.Insert("identity-" + std::to_string(round)) ? 1 : 0;
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    ASSERT_EQ(first, 1);
  }
}

TEST(IdentityMemoryTest, OldIdentitiesGiveWay) {
  IdentityMemory memory(1);
  EXPECT_TRUE(memory.Insert("a"));
  EXPECT_FALSE(memory.Insert("a"));
  EXPECT_TRUE(memory.Insert("b"));
  EXPECT_TRUE(memory.Insert("a"));
}

TEST(SlotGateTest, NeverLetsMoreThroughThanSlots) {
  constexpr int64_t kSlots = 3;
  SlotGate gate(kSlots);
  std::atomic<int64_t> inside = 0;
  std::atomic<bool> is_exceeded = false;
  std::vector<std::thread> threads;
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (int n = 0; n < 2000; ++n) {
        if (const auto pass = gate.Enter()) {
          is_exceeded = is_exceeded || ++inside > kSlots;
          --inside;
        }
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_FALSE(is_exceeded);
  EXPECT_EQ(gate.in_use(), 0);
}

}  // namespace
}  // namespace papayadrift::guard
