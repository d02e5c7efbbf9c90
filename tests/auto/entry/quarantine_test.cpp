// Quarantines through the decision stream: an entry that joins knows them.

#include <gtest/gtest.h>

#include "fake_region.h"

namespace papayadrift::entry {
namespace {

constexpr Resources kWorker = {8000, 16'384, 0};

void FailOn(FakeRegion& region, size_t worker) {
  region.worker(worker).SetFaults({true});
  region.Submit(R"({"job":"many","team":"team","kind":"k","tasks":2000,
                    "millicores":1000,"memory_mebibytes":512,
                    "run_milliseconds":2000})");
  region.AdvanceUntil([&] { return region.StateOf("w0").is_quarantined; },
                      seconds(300));
}

TEST(QuarantineTest, ReplacedEntryKeepsItAndReleasesAfterProbes) {
  FakeRegion region;
  region.Start();
  for (int i = 0; i < 4; ++i) {
    region.AddWorker("w" + std::to_string(i), kWorker);
  }
  FailOn(region, 0);
  ASSERT_TRUE(region.StateOf("w0").is_quarantined);
  region.ReplaceEntry();
  const auto view = region.entry().placement().scheduler().View(WorkerId("w0"));
  ASSERT_TRUE(view);
  EXPECT_TRUE(view->is_quarantined);
  // Only probes, one at a time, until it works again.
  const size_t before = region.worker(0).journal().size();
  region.Advance(seconds(20));
  EXPECT_LE(region.worker(0).journal().size(), before + 1);
  region.worker(0).SetFaults({false});
  region.AdvanceUntil([&] { return !region.StateOf("w0").is_quarantined; },
                      seconds(600));
  EXPECT_FALSE(region.StateOf("w0").is_quarantined);
  EXPECT_FALSE(region.entry()
                   .placement()
                   .scheduler()
                   .View(WorkerId("w0"))
                   ->is_quarantined);
}

// A worker whose lease ran out stops everything and comes back by itself,
// before the entry has freed its old incarnation.
TEST(ReturningWorkerTest, TasksOfItsOldIncarnationRunAgain) {
  FakeRegion region;
  region.Start();
  region.AddWorker("w0", kWorker);
  region.Submit(R"({"job":"two","team":"team","kind":"k","tasks":2,
                    "millicores":1000,"memory_mebibytes":512,
                    "run_milliseconds":20000})");
  region.AdvanceUntil([&] { return region.StartsOf("two") == 2; }, seconds(10));
  region.SetCutOff(0, true);
  region.AdvanceUntil(
      [&] { return region.worker(0).incarnation() == Incarnation(2); },
      seconds(60));
  region.SetCutOff(0, false);
  region.AdvanceUntil([&] { return region.StartsOf("two") == 4; }, seconds(60));
  EXPECT_EQ(region.StartsOf("two"), 4U);
}

}  // namespace
}  // namespace papayadrift::entry
