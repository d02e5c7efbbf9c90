// papayadrift-ctl: checks and applies operators' files and shows what is in
// force.

#include <tclap/CmdLine.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "control/commands.h"
#include "control/time_text.h"
#include "http/client.h"
#include "http/server.h"
#include "process/text_file.h"

namespace papayadrift {
namespace {

using control::ExitCode;

constexpr int kThreads = 2;
constexpr seconds kQueryTimeout(3);
constexpr seconds kChangeTimeout(15);

// The values of the command line.
struct Arguments {
  std::string command;
  std::string subject;  // A file, a job, a team or an entry.
  std::vector<std::string> entries;
  std::string author;
  std::string token_file;
  std::string authority_file;
  int64_t expected_version = -1;
  int64_t incarnation = -1;
  std::string since;
  std::string until;
  bool is_json = false;
};

std::string ExitCodeHelp() {
  std::string text = "Exit codes:";
  for (const auto& it : control::AllExitCodes()) {
    text += " " + std::to_string(static_cast<int>(it.code)) + " " +
            std::string(it.meaning);
  }
  return text;
}

Arguments ReadArguments(int count, char** values) {
  TCLAP::CmdLine line(
      "Checks and applies operators' files and shows what is in force. "
      "Commands: validate FILE, diff FILE, apply FILE, status, jobs, "
      "explain JOB, teams, workers, dump, outcomes, token TEAM, "
      "retire ENTRY. " +
          ExitCodeHelp(),
      ' ', "0.1.0");
  std::vector<std::string> names = {"validate", "diff",     "apply", "status",
                                    "jobs",     "explain",  "teams", "workers",
                                    "dump",     "outcomes", "token", "retire"};
  TCLAP::ValuesConstraint<std::string> known(names);
  TCLAP::UnlabeledValueArg<std::string> command("command", "What to do.", true,
                                                "", &known, line);
  TCLAP::UnlabeledValueArg<std::string> subject(
      "subject", "An operators' file, a job, a team or an entry's name.", false,
      "", "name", line);
  TCLAP::MultiArg<std::string> entries(
      "e", "entry", "Address of an entry; may be given again.", false,
      "ip:port", line);
  TCLAP::ValueArg<std::string> author("a", "author", "Who applies the file.",
                                      false, "operator", "name", line);
  TCLAP::ValueArg<std::string> token("t", "token-file",
                                     "File with the operator's token.", false,
                                     "", "path", line);
  TCLAP::ValueArg<std::string> authority(
      "c", "authority-file", "PEM file of the authority, for HTTPS.", false, "",
      "path", line);
  TCLAP::ValueArg<int64_t> version("x", "expected-version",
                                   "Version that the file was written against.",
                                   false, -1, "number", line);
  TCLAP::ValueArg<int64_t> incarnation("i", "incarnation",
                                       "Incarnation of the entry that is gone.",
                                       false, -1, "number", line);
  TCLAP::ValueArg<std::string> since(
      "s", "since", "Start, as 2026-12-04T09:30:00Z or in Unix ms.", false, "0",
      "time", line);
  TCLAP::ValueArg<std::string> until(
      "u", "until",
      "End, as 2026-12-04T09:30:00Z or in Unix ms; now if not "
      "set.",
      false, "", "time", line);
  TCLAP::SwitchArg json("j", "json", "Write JSON.", line);
  line.parse(count, values);
  return {command.getValue(), subject.getValue(),     entries.getValue(),
          author.getValue(),  token.getValue(),       authority.getValue(),
          version.getValue(), incarnation.getValue(), since.getValue(),
          until.getValue(),   json.getValue()};
}

std::string TokenIn(const std::string& path) {
  if (path.empty()) {
    return "";
  }
  std::string token = process::ReadTextFile(path).value_or("");
  token.erase(token.find_last_not_of(" \t\r\n") + 1);
  return token;
}

std::optional<control::ViewKind> ViewKindOf(const std::string& command) {
  static const std::map<std::string, control::ViewKind> kinds = {
      {"jobs", control::ViewKind::kJobs},
      {"teams", control::ViewKind::kTeams},
      {"workers", control::ViewKind::kWorkers}};
  const auto it = kinds.find(command);
  return it == kinds.end() ? std::nullopt : std::optional(it->second);
}

ExitCode RunOutcomesBetween(const Arguments& arguments,
                            control::EntryClient& client,
                            const control::Output& output) {
  const auto since = control::TimeFromText(arguments.since);
  const auto until = arguments.until.empty()
                         ? std::optional(SystemClock().WallNow())
                         : control::TimeFromText(arguments.until);
  if (!since || !until || *since > *until) {
    output.error << "Since and until must be times, the earlier one first.\n";
    return ExitCode::kUsage;
  }
  return RunOutcomes(*since, *until, client, output);
}

// Returns what the command needs besides itself, for people.
std::string_view SubjectOf(const std::string& command) {
  static const std::map<std::string, std::string_view> subjects = {
      {"apply", "file"},  {"diff", "file"},  {"validate", "file"},
      {"explain", "job"}, {"token", "team"}, {"retire", "name of an entry"}};
  const auto it = subjects.find(command);
  return it == subjects.end() ? std::string_view() : it->second;
}

ExitCode RunWithEntries(const Arguments& arguments,
                        control::EntryClient& client,
                        const control::Output& output) {
  if (arguments.command == "diff") {
    return RunDiff(arguments.subject, client, output);
  }
  if (arguments.command == "apply") {
    control::ApplyOptions options{arguments.subject, arguments.author, {}};
    if (arguments.expected_version >= 0) {
      options.expected_version =
          static_cast<uint64_t>(arguments.expected_version);
    }
    return RunApply(options, client, output);
  }
  if (arguments.command == "retire") {
    control::RetireOptions options{arguments.subject, {}};
    if (arguments.incarnation >= 0) {
      options.incarnation = static_cast<uint64_t>(arguments.incarnation);
    }
    return RunRetire(options, client, output);
  }
  if (arguments.command == "status") {
    return RunStatus(client, output);
  }
  if (arguments.command == "dump") {
    return RunDump(client, output);
  }
  if (const auto kind = ViewKindOf(arguments.command)) {
    return RunView(*kind, client, output);
  }
  if (arguments.command == "explain") {
    return RunExplain(arguments.subject, client, output);
  }
  return RunOutcomesBetween(arguments, client, output);
}

ExitCode Run(const Arguments& arguments) {
  const control::Output output{std::cout, std::cerr, arguments.is_json};
  const std::string_view subject = SubjectOf(arguments.command);
  if (!subject.empty() && arguments.subject.empty()) {
    std::cerr << "This command needs a " << subject << ".\n";
    return ExitCode::kUsage;
  }
  if (arguments.command == "validate") {
    return RunValidate(arguments.subject, output);
  }
  if (arguments.command == "token") {
    return RunToken(arguments.subject, output);
  }
  if (arguments.entries.empty()) {
    std::cerr << "This command needs --entry.\n";
    return ExitCode::kUsage;
  }
  http::InitializeThreads(kThreads);
  const SystemClock clock;
  http::ClientSettings settings;
  settings.authority_path = arguments.authority_file;
  http::Client http_client(settings, clock);
  const auto fetch = [&](const std::string& address,
                         const http::Request& request) {
    const bool is_query = request.method == "GET";
    const microseconds timeout = is_query ? kQueryTimeout : kChangeTimeout;
    return http_client.SendAndWait(address, request, clock.Now() + timeout);
  };
  control::EntryClient client(fetch, arguments.entries,
                              TokenIn(arguments.token_file));
  return RunWithEntries(arguments, client, output);
}

}  // namespace
}  // namespace papayadrift

int main(int argc, char** argv) {
  using papayadrift::control::ExitCode;
  try {
    const auto arguments = papayadrift::ReadArguments(argc, argv);
    return static_cast<int>(papayadrift::Run(arguments));
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus() == 0 ? 0 : static_cast<int>(ExitCode::kUsage);
  } catch (const TCLAP::ArgException& exception) {
    std::cerr << exception.error() << " " << exception.argId() << "\n";
    return static_cast<int>(ExitCode::kUsage);
  }
}
