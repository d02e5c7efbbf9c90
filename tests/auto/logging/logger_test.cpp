#include "logging/logger.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <thread>
#include <vector>

namespace papayadrift::logging {
namespace {

const ManualClock kClock(WallInstant(milliseconds(1'764'810'123'045)));

TEST(LoggerTest, EventIsOneLineOfTypedFields) {
  std::ostringstream out;
  Logger logger("entry-1", Level::kInfo, kClock, out);
  logger.Log(Event::kLeaseLapsed, {{"worker", "w\n\"1\xff"},
                                   {"age_ms", int64_t{12}},
                                   {"share", 0.5},
                                   {"is_known", true}});
  const std::string text = out.str();
  EXPECT_EQ(std::ranges::count(text, '\n'), 1);
  const auto line = nlohmann::json::parse(text);
  EXPECT_EQ(line["time"], "2025-12-04T01:02:03.045Z");
  EXPECT_EQ(line["level"], "warning");
  EXPECT_EQ(line["event"], "lease.lapsed");
  EXPECT_EQ(line["process"], "entry-1");
  EXPECT_EQ(line["age_ms"], 12);
  EXPECT_EQ(line["share"], 0.5);
  EXPECT_EQ(line["is_known"], true);
}

TEST(LoggerTest, LowerLevelsAreLeftOut) {
  std::ostringstream out;
  Logger logger("entry-1", Level::kWarning, kClock, out);
  logger.Log(Event::kTaskEnded);
  EXPECT_EQ(out.str(), "");
}

TEST(LoggerTest, LinesOfThreadsStayWhole) {
  std::ostringstream out;
  Logger logger("entry-1", Level::kInfo, kClock, out);
  std::vector<std::thread> threads;
  for (int64_t thread = 0; thread < 4; ++thread) {
    threads.emplace_back([&logger, thread] {
      for (int n = 0; n < 100; ++n) {
        logger.Log(Event::kTaskEnded, {{"thread", thread}});
      }
    });
  }
  std::ranges::for_each(threads, &std::thread::join);
  std::istringstream in(out.str());
  int lines = 0;
  for (std::string line; std::getline(in, line); ++lines) {
    EXPECT_TRUE(nlohmann::json::accept(line)) << line;
  }
  EXPECT_EQ(lines, 400);
}

TEST(EventTest, TableIsInOrderAndOnTheOperatorsPage) {
  std::ifstream page(OPERATIONS_PAGES "/logging.md");
  std::stringstream text;
  text << page.rdbuf();
  std::set<std::string_view> names;
  for (const EventDescription& description : AllEvents()) {
    EXPECT_EQ(Describe(description.event), description);
    EXPECT_TRUE(names.insert(description.name).second) << description.name;
    const std::string row = "| `" + std::string(description.name) + "` | " +
                            std::string(ToText(description.level)) + " | " +
                            std::string(description.meaning) + " |";
    EXPECT_NE(text.str().find(row), std::string::npos) << row;
  }
}

}  // namespace
}  // namespace papayadrift::logging
