// Urgent work at full load, through an entry's whole control path and the
// stand-in workers' logic, by a manual clock.

#include <gtest/gtest.h>

#include "fake_region.h"

namespace papayadrift::entry {
namespace {

constexpr Resources kWorker = {8000, 16'384, 0};
// Letter 1: urgent work starts within 1.1 s.
constexpr milliseconds kUrgentStart(1100);

std::string JobOf(const std::string& name,
                  int tasks,
                  int millicores,
                  const std::string& rest) {
  return R"({"job":")" + name + R"(","team":"team","kind":")" + name +
         R"(","tasks":)" + std::to_string(tasks) + R"(,"millicores":)" +
         std::to_string(millicores) +
         R"(,"memory_mebibytes":1024,"run_milliseconds":600000)" + rest + "}";
}

// Every processor of the workers is granted, and no heartbeat is near.
void Fill(FakeRegion& region, int workers) {
  region.Start();
  for (int i = 0; i < workers; ++i) {
    region.AddWorker("w" + std::to_string(i), kWorker);
  }
  const int tasks = 4 * workers;
  region.Submit(JobOf("batch", tasks, 2000, ""));
  region.AdvanceUntil(
      [&] { return region.StartsOf("batch") == static_cast<size_t>(tasks); },
      seconds(10));
}

TEST(UrgentWorkTest, StartsInTimeWhereThrottlingFreesTheRoom) {
  for (int phase = 0; phase < 10; ++phase) {
    FakeRegion region;
    Fill(region, 2);
    ASSERT_EQ(region.StartsOf("batch"), 8U);
    // At any moment between two heartbeats.
    region.Advance(milliseconds(2000 + 100 * phase));
    region.Submit(JobOf("urgent", 1, 2000, R"(,"urgent":true)"));
    const microseconds took = region.AdvanceUntil(
        [&] { return region.StartsOf("urgent") == 1; }, seconds(10));
    EXPECT_LE(took, kUrgentStart) << "phase " << phase;
  }
}

TEST(UrgentWorkTest, AsksWorkersForFewHeartbeatsMore) {
  FakeRegion region;
  Fill(region, 2);
  region.Advance(seconds(3));
  const uint64_t before = region.heartbeats();
  region.Submit(JobOf("urgent", 1, 2000, R"(,"urgent":true)"));
  region.Advance(seconds(3));
  EXPECT_EQ(region.StartsOf("urgent"), 1U);
  // Six of the period; the rest within the time that the log takes thrice.
  EXPECT_LE(region.heartbeats() - before, 6U + 16U);
}

TEST(UrgentWorkTest, EvictionWhoseRequestIsLostIsAskedForAgain) {
  FakeRegion region;
  Fill(region, 1);
  region.log().LoseAppendsOf("eviction_requested", 1);
  region.Submit(R"({"job":"urgent","team":"team","kind":"u","tasks":1,
                    "millicores":1000,"memory_mebibytes":15000,
                    "run_milliseconds":600000,"urgent":true})");
  region.Advance(seconds(30));
  EXPECT_EQ(region.StartsOf("urgent"), 1U);
}

}  // namespace
}  // namespace papayadrift::entry
