#include <nlohmann/json.hpp>
#include <ostream>

#include "configuration/configuration_reader.h"
#include "control/commands.h"
#include "process/text_file.h"

namespace papayadrift::control {

namespace {

void PrintProblems(const std::vector<settings::Problem>& problems,
                   const std::string& path,
                   const Output& output) {
  if (!output.is_json) {
    for (const settings::Problem& problem : problems) {
      output.error << ToText(problem, path) << "\n";
    }
    return;
  }
  nlohmann::json list = nlohmann::json::array();
  for (const settings::Problem& problem : problems) {
    list.push_back({{"file", path},
                    {"section", problem.section},
                    {"key", problem.key},
                    {"line", problem.line},
                    {"reason", ToText(problem.kind)},
                    {"detail", problem.detail}});
  }
  output.out << nlohmann::json{{"problems", list}}.dump() << "\n";
}

}  // namespace

ExitCode RunValidate(const std::string& path, const Output& output) {
  std::vector<settings::Problem> problems;
  const std::optional<std::string> text = process::ReadTextFile(path);
  if (!text) {
    problems.push_back({settings::ProblemKind::kUnreadable, "", "", 0, ""});
  }
  if (!text || !configuration::ReadConfiguration(*text, problems)) {
    PrintProblems(problems, path, output);
    return ExitCode::kRefused;
  }
  if (output.is_json) {
    PrintProblems(problems, path, output);
  } else {
    output.out << path << " is valid.\n";
  }
  return ExitCode::kDone;
}

}  // namespace papayadrift::control
