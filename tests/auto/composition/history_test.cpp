// Random histories of faults in a whole region on manual time. Each seed is a
// test of its own: --gtest_filter='*/HistoryTest.*/17' repeats one.

#include <gtest/gtest.h>

#include "composition/history.h"

namespace papayadrift::test {
namespace {

constexpr int kHistories = 240;

class HistoryTest : public testing::TestWithParam<int> {};

TEST_P(HistoryTest, KeepsEveryPromise) {
  History history(static_cast<uint64_t>(GetParam()));
  history.Run();
  EXPECT_TRUE(history.region().violations().empty())
      << testing::PrintToString(history.region().violations()) << "\n"
      << history.region().trace();
  EXPECT_GT(history.region().starts(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, HistoryTest, testing::Range(0, kHistories));

}  // namespace
}  // namespace papayadrift::test
