#include "async_http/refusal_reporter.h"

#include <gtest/gtest.h>

#include <vector>

namespace papayadrift::async_http {
namespace {

class LineCounter : public logging::EventLog {
 public:
  void Log(logging::Event event,
           std::initializer_list<logging::Field> fields) override {
    EXPECT_EQ(event, logging::Event::kConnectionRefused);
    lines_.emplace_back(fields);
  }

  std::vector<std::vector<logging::Field>> lines_;
};

// Guards against a log that grows with what clients send, and against counts
// that are lost with the lines left out.
TEST(RefusalReporterTest, LogsEachReasonOnceInItsPeriod) {
  constexpr int kRefusals = 100;
  const logging::Field once{"count", int64_t{1}};
  const logging::Field others{"count", int64_t{kRefusals}};
  ManualClock clock;
  clock.Advance(seconds(1));
  LineCounter log;
  metrics::Registry registry;
  RefusalReporter reporter("callers", clock, &log, registry);
  for (int i = 0; i < kRefusals; ++i) {
    reporter.Report(Refusal::kBodyTooLarge);
  }
  reporter.Report(Refusal::kPlaceNeeded);
  ASSERT_EQ(log.lines_.size(), 2U);
  EXPECT_EQ(log.lines_[0].back(), once);
  EXPECT_EQ(log.lines_[1].back(), once);
  clock.Advance(kRefusalLogPeriod);
  reporter.Report(Refusal::kBodyTooLarge);
  ASSERT_EQ(log.lines_.size(), 3U);
  EXPECT_EQ(log.lines_[2].back(), others);
  EXPECT_NE(
      registry.ToText().find("papayadrift_connections_refused_total{listener="
                             "\"callers\",reason=\"body_too_large\"} 101"),
      std::string::npos)
      << registry.ToText();
}

}  // namespace
}  // namespace papayadrift::async_http
