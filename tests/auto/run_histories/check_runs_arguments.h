#ifndef PAPAYADRIFT_TESTS_RUN_HISTORIES_CHECK_RUNS_ARGUMENTS_H_
#define PAPAYADRIFT_TESTS_RUN_HISTORIES_CHECK_RUNS_ARGUMENTS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace papayadrift::run_histories {

struct CheckRunsArguments {
  double minutes = 10;
  uint64_t seed = 1;
  uint64_t histories = 0;  // 0: no limit.
  size_t jobs = 1;
  bool is_guided = true;

  friend bool operator==(const CheckRunsArguments&,
                         const CheckRunsArguments&) = default;
};

// Nothing is to be played: help was asked for, or the arguments are wrong.
struct CheckRunsExit {
  int code = 0;
  std::string message;

  friend bool operator==(const CheckRunsExit&, const CheckRunsExit&) = default;
};

inline constexpr int kBadArgumentsExitCode = 2;

// Reads the arguments of check_runs; the first is the program's name.
std::variant<CheckRunsArguments, CheckRunsExit> ReadCheckRunsArguments(
    std::vector<std::string> arguments);

}  // namespace papayadrift::run_histories

#endif  // PAPAYADRIFT_TESTS_RUN_HISTORIES_CHECK_RUNS_ARGUMENTS_H_
