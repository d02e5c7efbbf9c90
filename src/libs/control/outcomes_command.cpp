#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>
#include <utility>
#include <vector>

#include "control/answer_p.h"
#include "control/commands.h"
#include "control/region_survey_p.h"
#include "control/table.h"
#include "control/time_text.h"

namespace papayadrift::control {

namespace {

using nlohmann::json;

std::string TimeIn(const json& row, const char* name) {
  return TimeText(WallInstant(milliseconds(row.value(name, int64_t{0}))));
}

void PrintCounts(const json& report, const Output& output) {
  Table table({"CUSTOMER", "SERVICE", "OUTCOME", "RAN", "COUNT"});
  for (const json& row : report.value("counts", json::array())) {
    table.AddRow({row.value("customer", ""), row.value("service", ""),
                  row.value("outcome", ""), row.value("ran", ""),
                  std::to_string(row.value("count", uint64_t{0}))});
  }
  output.out << table.ToText();
}

void PrintIntervals(const json& list,
                    const std::string& title,
                    const std::string& name,
                    const Output& output) {
  output.out << "\n" << title << ": " << list.size() << "\n";
  for (const json& row : list) {
    output.out << "  " << row.value(name, "") << " from " << TimeIn(row, "from")
               << " until " << TimeIn(row, "until") << "\n";
  }
}

// What one region reports; nothing when it does not answer.
struct RegionReport {
  std::string region;
  std::optional<json> report;
};

// Asks one entry of each region, another one if that does not answer.
std::vector<RegionReport> AskRegions(const RegionSurvey& survey,
                                     const http::Request& request,
                                     EntryClient& client,
                                     std::optional<http::Response>& refusal) {
  std::vector<RegionReport> reports;
  for (const ProcessStatus& process : survey.processes) {
    auto it = std::ranges::find(reports, process.region, &RegionReport::region);
    if (it == reports.end()) {
      it = reports.insert(it, RegionReport{process.region, std::nullopt});
    }
    if (it->report || !process.answer) {
      continue;
    }
    std::optional<http::Response> response =
        client.SendTo(process.address, request);
    it->report = AnswerIn(response);
    if (response && !it->report) {
      refusal = std::move(response);
    }
  }
  for (const std::string& region : survey.silent_regions) {
    reports.push_back({region, std::nullopt});
  }
  return reports;
}

// Asks the first entry that answers, where none tells its region.
std::vector<RegionReport> AskAnyEntry(const http::Request& request,
                                      EntryClient& client,
                                      std::optional<http::Response>& refusal) {
  std::optional<http::Response> response = client.Send(request, true);
  if (std::optional<json> report = AnswerIn(response)) {
    return {{"", std::move(report)}};
  }
  if (response) {
    refusal = std::move(response);
  }
  return {};
}

void PrintText(const RegionReport& region, const Output& output) {
  if (!region.region.empty()) {
    output.out << "Region " << region.region << "\n";
  }
  if (!region.report) {
    output.out << "No entry of the region answers: its record is not known.\n";
    return;
  }
  PrintCounts(*region.report, output);
  PrintIntervals(region.report->value("missed_promises", json::array()),
                 "Missed promises", "promise", output);
  PrintIntervals(region.report->value("gaps", json::array()),
                 "Gaps in the record", "entry", output);
}

// Returns the report alone where there is but one region.
json JsonOf(const std::vector<RegionReport>& reports) {
  if (reports.size() == 1) {
    return *reports.front().report;
  }
  json list = json::array();
  for (const RegionReport& it : reports) {
    list.push_back(
        {{"region", it.region}, {"report", it.report ? *it.report : json()}});
  }
  return {{"regions", list}};
}

bool IsWhole(const RegionReport& region) {
  return region.report && region.report->value("gaps", json::array()).empty();
}

}  // namespace

ExitCode RunOutcomes(WallInstant since,
                     WallInstant until,
                     EntryClient& client,
                     const Output& output) {
  http::Request request = Query("/admin/v1/outcomes");
  request.query["since"] = std::to_string(since.time_since_epoch().count());
  request.query["until"] = std::to_string(until.time_since_epoch().count());
  const RegionSurvey survey = Survey(client);
  std::optional<http::Response> refusal = survey.refusal;
  const std::vector<RegionReport> reports =
      survey.processes.empty() ? AskAnyEntry(request, client, refusal)
                               : AskRegions(survey, request, client, refusal);
  const bool has_answer = std::ranges::any_of(
      reports, [](const RegionReport& it) { return it.report.has_value(); });
  if (!has_answer) {
    return ReportRefusalOrNoAnswer(refusal, client, output);
  }
  Show(JsonOf(reports), output, [&] {
    for (const RegionReport& region : reports) {
      PrintText(region, output);
    }
  });
  return std::ranges::all_of(reports, IsWhole) ? ExitCode::kDone
                                               : ExitCode::kGaps;
}

}  // namespace papayadrift::control
