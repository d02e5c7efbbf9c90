#include "check_runs_arguments.h"

#include <tclap/CmdLine.h>

#include <charconv>
#include <limits>
#include <optional>
#include <system_error>

namespace papayadrift::run_histories {
namespace {

constexpr double kMaxMinutes = 24 * 60;
constexpr size_t kMaxJobs = 64;

// Reads the value of an argument between `least` and `most`; throws what TCLAP
// throws for one that it can't read.
template <typename Number>
Number ReadNumber(const TCLAP::ValueArg<std::string>& argument,
                  Number least,
                  Number most) {
  const std::string& text = argument.getValue();
  Number value{};
  const char* end = text.data() + text.size();
  const auto [parsed_end, ec] = std::from_chars(text.data(), end, value);
  if (ec != std::errc() || parsed_end != end ||
      !(value >= least && value <= most)) {
    throw TCLAP::CmdLineParseException(
        "\"" + text + "\" is not a number from " + std::to_string(least) +
            " to " + std::to_string(most) + ".",
        "--" + argument.getName());
  }
  return value;
}

}  // namespace

std::variant<CheckRunsArguments, CheckRunsExit> ReadCheckRunsArguments(
    std::vector<std::string> arguments) {
  constexpr uint64_t kMaxNumber = std::numeric_limits<uint64_t>::max();
  TCLAP::CmdLine line(
      "Plays random histories of runs until one breaks a rule. Exit codes: "
      "0 none did, 1 one did, 2 bad arguments.");
  line.setExceptionHandling(false);
  using Text = TCLAP::ValueArg<std::string>;
  Text minutes("m", "minutes", "For how long.", false, "10", "number", line);
  Text seed("s", "seed", "Which histories.", false, "1", "number", line);
  Text histories("n", "histories", "How many at most; 0: no limit.", false, "0",
                 "number", line);
  Text jobs("j", "jobs", "How many at a time.", false, "1", "number", line);
  TCLAP::SwitchArg blind("b", "blind",
                         "Learn nothing from the histories before.", line);
  try {
    line.parse(arguments);
    return CheckRunsArguments{
        ReadNumber<double>(minutes, 1.0 / 1000, kMaxMinutes),
        ReadNumber<uint64_t>(seed, 0, kMaxNumber),
        ReadNumber<uint64_t>(histories, 0, kMaxNumber),
        ReadNumber<size_t>(jobs, 1, kMaxJobs), !blind.getValue()};
  } catch (const TCLAP::ArgException& e) {
    return CheckRunsExit{kBadArgumentsExitCode, e.error() + " " + e.argId()};
  } catch (const TCLAP::ExitException& e) {
    return CheckRunsExit{e.getExitStatus(), {}};
  }
}

}  // namespace papayadrift::run_histories
