#include <fmt/core.h>

#include <nlohmann/json.hpp>
#include <ostream>

#include "control/answer_p.h"
#include "control/commands.h"
#include "control/resources_text.h"
#include "control/table.h"

namespace papayadrift::control {

namespace {

using nlohmann::json;

constexpr double kPercent = 100;

std::string NameOf(ViewKind kind) {
  switch (kind) {
    case ViewKind::kJobs:
      return "jobs";
    case ViewKind::kTeams:
      return "teams";
    case ViewKind::kWorkers:
      return "workers";
  }
  return "";
}

std::string CountIn(const json& row, const char* name) {
  return std::to_string(row.value(name, uint64_t{0}));
}

std::string AmountsIn(const json& row, const char* name) {
  return ResourcesText(row.value(name, json::object()));
}

Table JobsTable(const json& rows) {
  Table table({"JOB", "TEAM", "STATE", "RUNNING", "WAITING", "FINISHED",
               "FAILED ATTEMPTS", "WHY IT WAITS"});
  for (const json& row : rows) {
    table.AddRow({row.value("job", ""), row.value("team", ""),
                  row.value("is_open", false) ? "open" : "closed",
                  CountIn(row, "running"), CountIn(row, "waiting"),
                  CountIn(row, "finished"), CountIn(row, "failed_attempts"),
                  row.value("why_waiting", "")});
  }
  return table;
}

Table TeamsTable(const json& rows) {
  Table table({"TEAM", "QUOTA", "USED", "SHARE", "JOBS WAITING"});
  for (const json& row : rows) {
    table.AddRow(
        {row.value("team", ""), AmountsIn(row, "quota"), AmountsIn(row, "used"),
         fmt::format("{:.0f} %", kPercent * row.value("dominant_share", 0.0)),
         CountIn(row, "jobs_waiting")});
  }
  return table;
}

std::string WorkerState(const json& row) {
  const std::string state = row.value("state", "");
  return row.value("is_quarantined", false) ? state + ", quarantined" : state;
}

Table WorkersTable(const json& rows) {
  Table table({"WORKER", "AVAILABILITY ZONE", "RACK", "STATE", "CAPACITY",
               "FOR RUNNERS", "GRANTED", "TASKS"});
  for (const json& row : rows) {
    table.AddRow({row.value("worker", ""), row.value("availability_zone", ""),
                  row.value("rack", ""), WorkerState(row),
                  AmountsIn(row, "capacity"), AmountsIn(row, "reserved"),
                  AmountsIn(row, "granted"),
                  std::to_string(row.value("tasks", json::array()).size())});
  }
  return table;
}

Table TableOf(ViewKind kind, const json& rows) {
  switch (kind) {
    case ViewKind::kJobs:
      return JobsTable(rows);
    case ViewKind::kTeams:
      return TeamsTable(rows);
    case ViewKind::kWorkers:
      break;
  }
  return WorkersTable(rows);
}

}  // namespace

ExitCode RunView(ViewKind kind, EntryClient& client, const Output& output) {
  const std::string name = NameOf(kind);
  return ShowAnswerTo(
      Query("/admin/v1/" + name), client, output, [&](const json& body) {
        Show(body, output, [&] {
          output.out << TableOf(kind, body.value(name, json::array())).ToText();
        });
      });
}

}  // namespace papayadrift::control
