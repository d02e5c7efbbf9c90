#ifndef PAPAYADRIFT_PROCESS_SETTINGS_FILE_H_
#define PAPAYADRIFT_PROCESS_SETTINGS_FILE_H_

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "process/text_file.h"
#include "settings/problem.h"

namespace papayadrift::process {

// Writes one line for each problem of the file.
void PrintProblems(const std::vector<settings::Problem>& problems,
                   const std::string& path,
                   std::ostream& error);

// Returns what `read` makes of the file's text. Prints every problem, and
// returns nothing, when there is one.
template <typename Settings>
std::optional<Settings> ReadSettingsFile(
    const std::string& path,
    std::optional<Settings> (*read)(const std::string&,
                                    std::vector<settings::Problem>&),
    std::ostream& error) {
  std::vector<settings::Problem> problems;
  const std::optional<std::string> text = ReadTextFile(path);
  if (!text) {
    problems.push_back({settings::ProblemKind::kUnreadable, "", "", 0, ""});
  }
  std::optional<Settings> settings =
      text ? read(*text, problems) : std::nullopt;
  PrintProblems(problems, path, error);
  return settings;
}

}  // namespace papayadrift::process

#endif  // PAPAYADRIFT_PROCESS_SETTINGS_FILE_H_
