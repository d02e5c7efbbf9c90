// What an entry has learned outlives it.

#include <gtest/gtest.h>

#include <algorithm>

#include "fake_region.h"

namespace papayadrift::entry {
namespace {

constexpr Resources kWorker = {16'000, 32'768, 0};

std::string JobOf(const std::string& name) {
  return R"({"job":")" + name +
         R"(","team":"team","kind":"plan","tasks":2,"millicores":4000,
            "memory_mebibytes":4096,"run_milliseconds":3600000})";
}

int64_t GrantOf(FakeRegion& region, const std::string& job) {
  const replay::TaskState* task =
      region.entry().decisions().state().jobs().FindTask({JobId(job), 0});
  return task == nullptr ? 0 : task->grant.millicores;
}

TEST(KnowledgeTest, ReplacedEntryGrantsWhatItsForerunnerLearned) {
  FakeRegion region;
  region.Start();
  region.AddWorker("w0", kWorker);
  region.Submit(JobOf("first"));
  region.AdvanceUntil([&] { return region.StartsOf("first") == 2; },
                      seconds(10));
  EXPECT_EQ(GrantOf(region, "first"), 4000);
  // Tasks use 60 % of what they are granted; two minutes bring two looks.
  region.Advance(seconds(125));
  EXPECT_GT(region.entry().knowledge().noted_count(), 0U);
  region.ReplaceEntry();
  const auto known = region.entry().placement().scheduler().Knowledge();
  ASSERT_EQ(known.kinds.size(), 1U);
  EXPECT_GT(known.kinds[0].millicores.reports, 6U);
  region.Submit(JobOf("second"));
  region.AdvanceUntil([&] { return region.StartsOf("second") == 2; },
                      seconds(10));
  EXPECT_GT(GrantOf(region, "second"), 0);
  EXPECT_LT(GrantOf(region, "second"), 3200);
}

TEST(KnowledgeTest, ReplacedEntryClaimsNoTaskThatHasEnded) {
  FakeRegion region;
  region.Start();
  region.AddWorker("w0", kWorker);
  region.Submit(R"({"job":"many","team":"team","kind":"short","tasks":100,
                    "millicores":2000,"memory_mebibytes":512,
                    "run_milliseconds":2000})");
  const auto finished = [&] {
    return region.entry()
        .decisions()
        .state()
        .jobs()
        .FindJob(JobId("many"))
        ->counts.finished;
  };
  region.Advance(seconds(1));
  region.AdvanceUntil([&] { return finished() >= 40; }, seconds(300));
  region.ReplaceEntry();
  region.Advance(seconds(5));
  EXPECT_LT(finished(), 100U);
  EXPECT_EQ(region.entry().placement().scheduler().counters().claims_rejected,
            0U);
  region.AdvanceUntil([&] { return finished() == 100; }, seconds(300));
  EXPECT_EQ(finished(), 100U);
  EXPECT_EQ(region.StartsOf("many"), 100U);
}

TEST(KnowledgeTest, NotesAreFewOnceLittleIsNew) {
  FakeRegion region;
  region.Start();
  region.AddWorker("w0", kWorker);
  region.Submit(JobOf("first"));
  region.Advance(seconds(1200));
  const uint64_t before = region.entry().knowledge().noted_count();
  region.Advance(seconds(1200));
  // Two refreshes of one kind.
  EXPECT_LE(region.entry().knowledge().noted_count() - before, 2U);
}

}  // namespace
}  // namespace papayadrift::entry
