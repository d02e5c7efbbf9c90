#include <gtest/gtest.h>

#include <cstdint>
#include <string>

#include "search.h"
#include "step.h"
#include "world.h"

namespace papayadrift::run_histories {
namespace {

constexpr uint64_t kSeed = 20261206;
constexpr uint64_t kHistories = 12000;

// Plays the history and lets it end.
void ExpectSound(const History& history) {
  EXPECT_EQ(Play(history, true).violation.value_or(""), "");
}

// Guards against a checker that checks nothing: without faults, jobs are done.
TEST(RunHistoryTest, CalmHistoryIsSound) {
  ExpectSound({
      Submit{0, 0},
      Submit{1, 1},
      Submit{2, 0},
      Pass{milliseconds(4500)},
      Query{0, 1},
      Query{1, 0},
      Cancel{2, 1},
  });
}

// A job was shown as completed before that was stored: the store was cut off
// from the leader, the runner crashed, and the next leader started the task
// again.
TEST(RunHistoryTest, JobIsShownAsCompletedOnceThatIsStored) {
  ExpectSound({
      Submit{0, 0},
      CrashRunner{0, false, milliseconds(400)},
      Pass{milliseconds(900)},
      Cut{Link{LinkKind::kStoreWrite, 0}, milliseconds(8000)},
      Pass{milliseconds(20)},
      CrashRunner{1, false, milliseconds(2500)},
      Query{0, 0},
      Pass{milliseconds(3500)},
  });
}

TEST(RunHistoryTest, RandomHistoriesAreSound) {
  SearchTotals totals;
  for (uint64_t i = 0; i < kHistories; ++i) {
    if (const auto finding = Search(kSeed, i, totals)) {
      FAIL() << Describe(*finding);
    }
  }
}

}  // namespace
}  // namespace papayadrift::run_histories
