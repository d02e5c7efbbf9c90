// Plays random histories of runs for a time; see
// docs/design/23-run-histories.md.

#include <tclap/CmdLine.h>

#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <optional>

#include "base/clock.h"
#include "search.h"

namespace papayadrift::run_histories {
namespace {

constexpr int kViolated = 1;
constexpr int kBadArguments = 2;
constexpr seconds kProgressPeriod(10);
// Histories between two looks at the clock.
constexpr uint64_t kLookPeriod = 64;

struct Arguments {
  double minutes = 10;
  uint64_t seed = 1;
  uint64_t histories = 0;  // 0: no limit.
};

// Returns std::nullopt after it has said what is wrong.
std::optional<Arguments> ReadArguments(int count, char** values) {
  TCLAP::CmdLine line(
      "Plays random histories of runs until one breaks a rule. Exit codes: "
      "0 none did, 1 one did, 2 bad arguments.");
  line.setExceptionHandling(false);
  TCLAP::ValueArg<double> minutes("m", "minutes", "For how long.", false, 10,
                                  "minutes", line);
  TCLAP::ValueArg<uint64_t> seed("s", "seed", "Which histories.", false, 1,
                                 "number", line);
  TCLAP::ValueArg<uint64_t> histories("n", "histories",
                                      "How many at most; 0: no limit.", false,
                                      0, "number", line);
  try {
    line.parse(count, values);
  } catch (const TCLAP::ArgException& e) {
    std::cerr << e.error() << " " << e.argId() << "\n";
    return std::nullopt;
  }
  if (!(minutes.getValue() > 0)) {
    std::cerr << "The number of minutes must be above 0.\n";
    return std::nullopt;
  }
  return Arguments{minutes.getValue(), seed.getValue(), histories.getValue()};
}

// Rates are also given for the processor time, which doesn't depend on what
// else the machine does.
void PrintProgress(const SearchTotals& totals, microseconds passed) {
  const auto elapsed = std::chrono::duration<double>(passed).count();
  const double used = static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
  const auto histories = static_cast<double>(totals.histories);
  std::cout << "{\"seconds\":" << elapsed
            << ",\"histories\":" << totals.histories
            << ",\"histories_per_s\":" << histories / elapsed
            << ",\"histories_per_processor_s\":" << histories / used
            << ",\"states_per_s\":"
            << static_cast<double>(totals.states) / elapsed
            << ",\"states_per_history\":" << totals.states / totals.histories
            << ",\"longest_simulated_ms\":" << totals.longest.count() << "}"
            << std::endl;
}

int Run(const Arguments& arguments) {
  const SystemClock clock;
  const Instant begin = clock.Now();
  const Instant end =
      begin +
      std::chrono::floor<microseconds>(
          std::chrono::duration<double, std::ratio<60>>(arguments.minutes));
  Instant progress_due = begin + kProgressPeriod;
  SearchTotals totals;
  for (uint64_t i = 0;; ++i) {
    if (const auto finding = Search(arguments.seed, i, totals)) {
      PrintProgress(totals, clock.Now() - begin);
      std::cout << Describe(*finding);
      return kViolated;
    }
    const bool is_last = totals.histories == arguments.histories;
    if (i % kLookPeriod != 0 && !is_last) {
      continue;
    }
    const Instant now = clock.Now();
    if (now >= end || is_last) {
      PrintProgress(totals, now - begin);
      return EXIT_SUCCESS;
    }
    if (now >= progress_due) {
      progress_due = now + kProgressPeriod;
      PrintProgress(totals, now - begin);
    }
  }
}

}  // namespace
}  // namespace papayadrift::run_histories

int main(int argc, char** argv) {
  try {
    const auto arguments =
        papayadrift::run_histories::ReadArguments(argc, argv);
    return arguments ? papayadrift::run_histories::Run(*arguments)
                     : papayadrift::run_histories::kBadArguments;
  } catch (const TCLAP::ExitException& e) {
    return e.getExitStatus();
  }
}
