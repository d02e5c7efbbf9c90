// Plays random histories of runs for a time; see
// docs/design/23-run-histories.md.

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "check_runs_arguments.h"
#include "search.h"

namespace papayadrift::run_histories {
namespace {

constexpr int kViolated = 1;
constexpr seconds kProgressPeriod(10);

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
            << ",\"states_per_history\":"
            << totals.states / std::max<uint64_t>(1, totals.histories)
            << ",\"corpus\":" << totals.corpus
            << ",\"longest_simulated_ms\":" << totals.longest.count() << "}"
            << std::endl;
}

int Run(const CheckRunsArguments& arguments) {
  const SystemClock clock;
  const Instant begin = clock.Now();
  const Instant end =
      begin +
      std::chrono::floor<microseconds>(
          std::chrono::duration<double, std::ratio<60>>(arguments.minutes));
  Instant progress_due = begin + kProgressPeriod;
  Search search({arguments.seed, arguments.histories, arguments.jobs, end,
                 arguments.is_guided},
                clock, [&](const SearchTotals& totals) {
                  const Instant now = clock.Now();
                  if (now >= progress_due) {
                    progress_due = now + kProgressPeriod;
                    PrintProgress(totals, now - begin);
                  }
                });
  const auto finding = search.Run();
  PrintProgress(search.totals(), clock.Now() - begin);
  if (!finding) {
    return EXIT_SUCCESS;
  }
  std::cout << Describe(*finding);
  return kViolated;
}

}  // namespace
}  // namespace papayadrift::run_histories

int main(int argc, char** argv) {
  using papayadrift::run_histories::CheckRunsArguments;
  using papayadrift::run_histories::CheckRunsExit;
  const auto arguments = papayadrift::run_histories::ReadCheckRunsArguments(
      std::vector<std::string>(argv, argv + argc));
  if (const auto* exit = std::get_if<CheckRunsExit>(&arguments)) {
    std::cerr << exit->message << "\n";
    return exit->code;
  }
  return papayadrift::run_histories::Run(
      std::get<CheckRunsArguments>(arguments));
}
