#include <gtest/gtest.h>

#include <string>
#include <variant>
#include <vector>

#include "check_runs_arguments.h"
#include "search.h"

namespace papayadrift::run_histories {
namespace {

std::variant<CheckRunsArguments, CheckRunsExit> Read(
    std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), "check_runs");
  return ReadCheckRunsArguments(arguments);
}

TEST(CheckRunsTest, ReadsItsArguments) {
  EXPECT_EQ(std::get<CheckRunsArguments>(Read({})), CheckRunsArguments());
  EXPECT_EQ(std::get<CheckRunsArguments>(
                Read({"--minutes", "0.5", "--seed", "7", "--histories", "9",
                      "--jobs", "6", "--blind"})),
            (CheckRunsArguments{0.5, 7, 9, 6, false}));
}

TEST(CheckRunsTest, RefusesArgumentsThatAreNoNumbersOrOutOfRange) {
  const std::vector<std::vector<std::string>> all{
      {"--minutes", "x"},
      {"--minutes", "0"},
      {"--minutes", "-1"},
      {"--minutes", "nan"},
      {"--minutes", "1e9"},
      {"--seed", "x"},
      {"--seed", "-1"},
      {"--seed", "1.5"},
      {"--seed", "99999999999999999999"},
      {"--jobs", "0"},
      {"--jobs", "65"},
      {"--jobs", "2x"},
      {"--histories", ""},
      {"--unknown"}};
  for (const auto& arguments : all) {
    SCOPED_TRACE(arguments.back());
    const auto result = Read(arguments);
    const auto* exit = std::get_if<CheckRunsExit>(&result);
    ASSERT_NE(exit, nullptr);
    EXPECT_EQ(exit->code, kBadArgumentsExitCode);
    EXPECT_NE(exit->message, "");
  }
}

// Guards against a seed that means something else on another machine.
TEST(CheckRunsTest, SameHistoriesWithAnyNumberOfThreads) {
  const SystemClock clock;
  const auto totals = [&](size_t threads) {
    constexpr uint64_t kHistories = 1100;  // Three generations.
    Search search({5, kHistories, threads}, clock);
    EXPECT_EQ(search.Run(), std::nullopt);
    return search.totals();
  };
  EXPECT_EQ(totals(1), totals(3));
}

}  // namespace
}  // namespace papayadrift::run_histories
