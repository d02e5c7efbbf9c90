#include "cluster/report_queue.h"

#include <gtest/gtest.h>

namespace papayadrift::cluster {
namespace {

// A report that can be told apart by the time at which it arrived.
WaitingReport ReportOf(const std::string& reporter, int arrived_ms) {
  return {{reporter, {}}, Instant(milliseconds(arrived_ms)), {}};
}

int ArrivedMs(const std::optional<WaitingReport>& report) {
  return static_cast<int>(
      std::chrono::floor<milliseconds>(report->received_at.time_since_epoch())
          .count());
}

TEST(ReportQueueTest, TakesInTheOrderOfArrival) {
  ReportQueue queue;
  EXPECT_FALSE(queue.Take());
  EXPECT_FALSE(queue.Put(ReportOf("a", 1)));
  EXPECT_FALSE(queue.Put(ReportOf("b", 2)));
  EXPECT_EQ(queue.size(), 2U);
  EXPECT_EQ(ArrivedMs(queue.Take()), 1);
  EXPECT_EQ(ArrivedMs(queue.Take()), 2);
  EXPECT_TRUE(queue.empty());
}

// Guards against a queue that grows with each repeat, and against an agent that
// loses its turn by a repeat.
TEST(ReportQueueTest, LaterReportTakesThePlaceOfTheEarlierOne) {
  ReportQueue queue;
  queue.Put(ReportOf("a", 1));
  queue.Put(ReportOf("b", 2));
  const auto overtaken = queue.Put(ReportOf("a", 3));
  ASSERT_TRUE(overtaken);
  EXPECT_EQ(ArrivedMs(overtaken), 1);
  EXPECT_EQ(ArrivedMs(queue.Take()), 3);
  EXPECT_FALSE(queue.Put(ReportOf("a", 4)));
  EXPECT_EQ(ArrivedMs(queue.Take()), 2);
  EXPECT_EQ(ArrivedMs(queue.Take()), 4);
}

TEST(ReportQueueTest, ReportsWithoutAReporterAreAllKept) {
  ReportQueue queue;
  queue.Put(ReportOf("", 1));
  EXPECT_FALSE(queue.Put(ReportOf("", 2)));
  EXPECT_EQ(ArrivedMs(queue.Take()), 1);
  EXPECT_EQ(ArrivedMs(queue.Take()), 2);
}

// Guards against ends that are lost with an unread report, since that of the
// runner's end, or of its next process, has no lists of them.
TEST(ReportQueueTest, OnlyReportsOfTheSameProcessesReplaceEachOther) {
  jobs::RunnerReport report;
  report.incarnation = {"node", "instance", 1};
  const std::string first = ReporterOf(report);
  report.sent_at_ms = 5;
  EXPECT_EQ(ReporterOf(report), first);
  report.state = jobs::RunnerState::kGone;
  EXPECT_NE(ReporterOf(report), first);
  report.state = jobs::RunnerState::kReady;
  report.agent_start_unix_ms = 1;
  EXPECT_NE(ReporterOf(report), first);
  report.agent_start_unix_ms = 0;
  report.incarnation.start_unix_ms = 2;
  EXPECT_NE(ReporterOf(report), first);
}

}  // namespace
}  // namespace papayadrift::cluster
