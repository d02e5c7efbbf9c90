#include "logging/logger.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <thread>
#include <vector>

#include "pipe.h"

namespace papayadrift::logging {
namespace {

const ManualClock kClock(WallInstant(milliseconds(1'764'810'123'045)));

// Returns the lines that `act` makes a logger write.
std::vector<std::string> LinesOf(const std::function<void(Logger&)>& act,
                                 Level minimum = Level::kInfo,
                                 const Clock& clock = kClock,
                                 const LoggerSettings& settings = {}) {
  Pipe pipe;
  {
    Logger logger("entry-1", minimum, clock, pipe.write_end(), settings);
    act(logger);
  }
  return pipe.TakeLines();
}

TEST(LoggerTest, EventIsOneLineOfTypedFields) {
  const auto lines = LinesOf([](Logger& logger) {
    logger.Log(Event::kLeaseLapsed, {{"worker", "w\n\"1\xff"},
                                     {"age_ms", int64_t{12}},
                                     {"share", 0.5},
                                     {"is_known", true}});
  });
  ASSERT_EQ(lines.size(), 1U);
  const auto line = nlohmann::json::parse(lines[0]);
  EXPECT_EQ(line["time"], "2025-12-04T01:02:03.045Z");
  EXPECT_EQ(line["level"], "warning");
  EXPECT_EQ(line["event"], "lease.lapsed");
  EXPECT_EQ(line["process"], "entry-1");
  EXPECT_EQ(line["age_ms"], 12);
  EXPECT_EQ(line["share"], 0.5);
  EXPECT_EQ(line["is_known"], true);
  EXPECT_FALSE(line.contains("left_out"));
  EXPECT_FALSE(line.contains("dropped"));
}

TEST(LoggerTest, LowerLevelsAreLeftOut) {
  const auto lines = LinesOf(
      [](Logger& logger) {
        logger.Log(Event::kTaskEnded);
        EXPECT_EQ(logger.missing_count(), 0U);
      },
      Level::kWarning);
  EXPECT_TRUE(lines.empty());
}

TEST(LoggerTest, LinesOfThreadsStayWhole) {
  const auto lines = LinesOf([](Logger& logger) {
    std::vector<std::thread> threads;
    for (int64_t thread = 0; thread < 4; ++thread) {
      threads.emplace_back([&logger, thread] {
        for (int n = 0; n < 100; ++n) {
          logger.Log(Event::kTaskEnded, {{"thread", thread}});
        }
      });
    }
    std::ranges::for_each(threads, &std::thread::join);
  });
  EXPECT_EQ(lines.size(), 400U);
  for (const std::string& line : lines) {
    EXPECT_TRUE(nlohmann::json::accept(line)) << line;
  }
}

TEST(LoggerTest, FrequentEventIsBoundedAndLeavesOthersTheirRoom) {
  ManualClock clock;
  const auto lines = LinesOf(
      [&clock](Logger& logger) {
        for (int n = 0; n < 1000; ++n) {
          logger.Log(Event::kTaskEnded);
        }
        logger.Log(Event::kLeaseLapsed);
        EXPECT_EQ(logger.missing_count(), 980U);
        clock.Advance(seconds(1));
        logger.Log(Event::kTaskEnded);
      },
      Level::kInfo, clock, {{10, 20}, {}, {}});
  ASSERT_EQ(lines.size(), 22U);
  EXPECT_EQ(nlohmann::json::parse(lines[20])["event"], "lease.lapsed");
  EXPECT_EQ(nlohmann::json::parse(lines[21])["left_out"], 980);
}

TEST(LoggerTest, GapOfDroppedLinesIsTold) {
  const auto lines = LinesOf(
      [](Logger& logger) {
        // Room for no routine line.
        logger.Log(Event::kTaskEnded);
        logger.Log(Event::kTaskEnded);
        logger.Log(Event::kLeaseLapsed);
        EXPECT_EQ(logger.missing_count(), 2U);
      },
      Level::kInfo, kClock, {{}, {}, {1000, 0}});
  ASSERT_EQ(lines.size(), 2U);
  const auto gap = nlohmann::json::parse(lines[0]);
  EXPECT_EQ(gap["event"], "lines.dropped");
  EXPECT_EQ(gap["count"], 2);
  EXPECT_EQ(nlohmann::json::parse(lines[1])["event"], "lease.lapsed");
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
