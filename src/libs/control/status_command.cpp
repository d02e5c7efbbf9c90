#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>
#include <vector>

#include "control/answer_p.h"
#include "control/commands.h"
#include "control/region_survey_p.h"
#include "control/table.h"

namespace papayadrift::control {

namespace {

using nlohmann::json;

uint64_t VersionOf(const json& status) {
  return status.value("configuration", json::object())
      .value("version", uint64_t{0});
}

uint64_t NewestVersion(const std::vector<ProcessStatus>& processes) {
  uint64_t newest = 0;
  for (const ProcessStatus& process : processes) {
    newest = std::max(
        newest, process.answer ? VersionOf(*process.answer) : uint64_t{0});
  }
  return newest;
}

bool IsUpToDate(const ProcessStatus& process, uint64_t newest) {
  return process.answer && VersionOf(*process.answer) == newest;
}

void AddRow(const ProcessStatus& process, uint64_t newest, Table& table) {
  const std::string incarnation = std::to_string(process.incarnation);
  if (!process.answer) {
    table.AddRow({process.region, process.name, incarnation, process.address,
                  "unknown", "", "", "", "", "does not answer"});
    return;
  }
  const json& answer = *process.answer;
  const json configuration = answer.value("configuration", json::object());
  const json log = answer.value("log", json::object());
  table.AddRow(
      {process.region, process.name, incarnation, process.address,
       std::to_string(VersionOf(answer)),
       AgeText(configuration.value("in_force_for_ms", int64_t{0})) + " ago",
       std::to_string(log.value("decision_offset", uint64_t{0})),
       log.value("is_available", false) ? "up" : "down",
       answer.value("state", ""), IsUpToDate(process, newest) ? "" : "lags"});
}

void PrintTable(const RegionSurvey& survey,
                uint64_t newest,
                const Output& output) {
  Table table({"REGION", "ENTRY", "INCARNATION", "ADDRESS", "VERSION",
               "IN FORCE SINCE", "OFFSET", "LOG", "STATE", "REMARK"});
  for (const ProcessStatus& process : survey.processes) {
    AddRow(process, newest, table);
  }
  for (const std::string& region : survey.silent_regions) {
    table.AddRow({region, "", "", "", "unknown", "", "", "", "",
                  "no entry of the region answers"});
  }
  output.out << "Newest configuration known: version " << newest << ".\n\n"
             << table.ToText();
}

json JsonOf(const RegionSurvey& survey, uint64_t newest) {
  json list = json::array();
  for (const ProcessStatus& process : survey.processes) {
    list.push_back({{"region", process.region},
                    {"entry", process.name},
                    {"incarnation", process.incarnation},
                    {"http_address", process.address},
                    {"is_up_to_date", IsUpToDate(process, newest)},
                    {"status", process.answer ? *process.answer : json()}});
  }
  return {{"newest_version", newest},
          {"entries", list},
          {"silent_regions", survey.silent_regions}};
}

}  // namespace

ExitCode RunStatus(EntryClient& client, const Output& output) {
  const RegionSurvey survey = Survey(client);
  const std::vector<ProcessStatus>& processes = survey.processes;
  if (processes.empty()) {
    return ReportRefusalOrNoAnswer(survey.refusal, client, output);
  }
  const uint64_t newest = NewestVersion(processes);
  Show(JsonOf(survey, newest), output,
       [&] { PrintTable(survey, newest, output); });
  const bool is_everywhere =
      survey.silent_regions.empty() &&
      std::ranges::all_of(
          processes, [&](const auto& it) { return IsUpToDate(it, newest); });
  return is_everywhere ? ExitCode::kDone : ExitCode::kDiffers;
}

}  // namespace papayadrift::control
