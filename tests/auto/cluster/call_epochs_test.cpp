#include "cluster/call_epochs.h"

#include <gtest/gtest.h>

#include <string>

namespace papayadrift::cluster {
namespace {

class CallEpochsTest : public testing::Test {
 protected:
  uint64_t Report(const std::string& node,
                  int64_t agent_start_unix_ms,
                  uint64_t call_epoch) {
    jobs::RunnerReport report;
    report.incarnation.node = node;
    report.agent_start_unix_ms = agent_start_unix_ms;
    report.call_epoch = call_epoch;
    return epochs_.OnReport(report);
  }

 private:
  CallEpochs epochs_;
};

TEST_F(CallEpochsTest, AgentGoesOnInItsEpoch) {
  EXPECT_EQ(Report("a", 1, 0), 0U);
  EXPECT_EQ(Report("a", 1, 3), 3U);
  EXPECT_EQ(Report("a", 1, 2), 3U);  // A report that a later one has overtaken.
}

// Guards against calls of the agent before that are still on their way, and
// against those that it has made since its last report.
TEST_F(CallEpochsTest, AgentThatStartsAgainBeginsAboveTheOneBefore) {
  Report("a", 1, 3);
  const uint64_t second = Report("a", 2, 0);
  EXPECT_EQ(second, 3 + CallEpochs::kMaxLead);
  EXPECT_EQ(Report("a", 2, second + 1), second + 1);
  EXPECT_GT(Report("a", 3, 0), second + 1);
}

TEST_F(CallEpochsTest, VmsAreIndependent) {
  Report("a", 1, 3);
  EXPECT_EQ(Report("b", 2, 0), 0U);
}

}  // namespace
}  // namespace papayadrift::cluster
