#include "cluster/report_queue.h"

#include <gtest/gtest.h>

namespace papayadrift::cluster {
namespace {

WaitingReport ReportOf(const std::string& node, const std::string& body) {
  WaitingReport report;
  report.node = node;
  report.request.body = body;
  return report;
}

TEST(ReportQueueTest, TakesInTheOrderOfArrival) {
  ReportQueue queue;
  EXPECT_FALSE(queue.Take());
  EXPECT_FALSE(queue.Put(ReportOf("a", "1")));
  EXPECT_FALSE(queue.Put(ReportOf("b", "2")));
  EXPECT_EQ(queue.size(), 2U);
  EXPECT_EQ(queue.Take()->request.body, "1");
  EXPECT_EQ(queue.Take()->request.body, "2");
  EXPECT_TRUE(queue.empty());
}

// Guards against a queue that grows with each repeat, and against an agent that
// loses its turn by a repeat.
TEST(ReportQueueTest, LaterReportTakesThePlaceOfTheEarlierOne) {
  ReportQueue queue;
  queue.Put(ReportOf("a", "1"));
  queue.Put(ReportOf("b", "2"));
  const auto overtaken = queue.Put(ReportOf("a", "3"));
  ASSERT_TRUE(overtaken);
  EXPECT_EQ(overtaken->request.body, "1");
  EXPECT_EQ(queue.Take()->request.body, "3");
  EXPECT_FALSE(queue.Put(ReportOf("a", "4")));
  EXPECT_EQ(queue.Take()->request.body, "2");
  EXPECT_EQ(queue.Take()->request.body, "4");
}

TEST(ReportQueueTest, ReportsWithoutANodeAreAllKept) {
  ReportQueue queue;
  queue.Put(ReportOf("", "1"));
  EXPECT_FALSE(queue.Put(ReportOf("", "2")));
  EXPECT_EQ(queue.Take()->request.body, "1");
  EXPECT_EQ(queue.Take()->request.body, "2");
}

}  // namespace
}  // namespace papayadrift::cluster
