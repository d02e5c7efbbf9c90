#include <nlohmann/json.hpp>
#include <ostream>

#include "configuration/configuration_diff.h"
#include "configuration/configuration_reader.h"
#include "control/answer_p.h"
#include "control/commands.h"
#include "process/text_file.h"

namespace papayadrift::control {

namespace {

using configuration::Configuration;
using configuration::SectionChange;

// An empty text stands for no configuration yet.
std::optional<Configuration> Read(const std::string& text) {
  if (text.empty()) {
    return Configuration();
  }
  std::vector<settings::Problem> problems;
  return configuration::ReadConfiguration(text, problems);
}

nlohmann::json JsonOf(const std::vector<SectionChange>& changes) {
  nlohmann::json list = nlohmann::json::array();
  for (const SectionChange& change : changes) {
    list.push_back(
        {{"section", change.section}, {"change", ToText(change.kind)}});
  }
  return {{"changes", list}};
}

void PrintText(const std::vector<SectionChange>& changes,
               const Output& output) {
  for (const SectionChange& change : changes) {
    output.out << ToText(change.kind) << " [" << change.section << "]\n";
  }
  if (changes.empty()) {
    output.out << "The file changes nothing.\n";
  }
}

}  // namespace

ExitCode RunDiff(const std::string& path,
                 EntryClient& client,
                 const Output& output) {
  const std::optional<std::string> text = process::ReadTextFile(path);
  const std::optional<Configuration> after = text ? Read(*text) : std::nullopt;
  if (!after) {
    return RunValidate(path, output);
  }
  const std::optional<http::Response> response =
      client.Send(Query("/admin/v1/configuration"), true);
  if (!response) {
    return ReportNoAnswer(client, output);
  }
  const std::optional<Configuration> before =
      Read(ObjectIn(*response).value("text", ""));
  if (response->status != 200 || !before) {
    return ReportRefusal(*response, output);
  }
  const std::vector<SectionChange> changes = Compare(*before, *after);
  Show(JsonOf(changes), output, [&] { PrintText(changes, output); });
  return changes.empty() ? ExitCode::kDone : ExitCode::kDiffers;
}

}  // namespace papayadrift::control
