#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>
#include <utility>
#include <vector>

#include "control/answer_p.h"
#include "control/commands.h"
#include "control/resources_text.h"
#include "control/table.h"

namespace papayadrift::control {

namespace {

using nlohmann::json;

// What one entry says of the job.
struct EntryView {
  std::string entry;
  json job;
};

std::string PathOf(const std::string& job) {
  return "/admin/v1/jobs/" + job;
}

// Asks every entry: each decides only about the workers whose home it is.
std::vector<EntryView> AskAll(const std::string& job, EntryClient& client) {
  const std::optional<http::Response> status =
      client.Send(Query("/admin/v1/status"), true);
  std::vector<EntryView> views;
  if (!status) {
    return views;
  }
  for (const json& entry : ObjectIn(*status).value("entries", json::array())) {
    std::optional<json> answer = AnswerIn(
        client.SendTo(entry.value("http_address", ""), Query(PathOf(job))));
    if (answer) {
      views.push_back({entry.value("entry", ""), std::move(*answer)});
    }
  }
  return views;
}

// Replaces what `job` does not know of its tasks by what the other entries do.
void Complete(json& job, const std::vector<EntryView>& views) {
  for (json& task : job["tasks"]) {
    for (const EntryView& view : views) {
      const json others = view.job.value("tasks", json::array());
      const auto it = std::ranges::find_if(others, [&](const json& other) {
        return other.value("index", -1) == task.value("index", 0) &&
               other.value("attempt", 0) == task.value("attempt", 0) &&
               other.value("is_decided_here", false);
      });
      if (it != others.end()) {
        task["why"] = (*it)["why"];
        task["decided_by"] = view.entry;
      }
    }
  }
}

void PrintJob(const json& job,
              const std::vector<EntryView>& views,
              const Output& output) {
  output.out << "Job " << job.value("job", "") << " of team "
             << job.value("team", "") << ": "
             << job.value("running", uint64_t{0}) << " running, "
             << job.value("waiting", uint64_t{0}) << " waiting, "
             << job.value("finished", uint64_t{0}) << " finished, "
             << job.value("dropped", uint64_t{0}) << " dropped.\n";
  for (const EntryView& view : views) {
    const std::string why = view.job.value("why_waiting", "");
    if (!why.empty()) {
      output.out << "The next task, as " << view.entry << " sees it: " << why
                 << "\n";
    }
  }
}

void PrintTasks(const json& tasks, const Output& output) {
  Table table({"TASK", "ATTEMPT", "FAILURES", "WORKER", "GRANT", "WHY"});
  for (const json& task : tasks) {
    const bool is_running = task.value("is_running", false);
    table.AddRow(
        {std::to_string(task.value("index", uint64_t{0})),
         std::to_string(task.value("attempt", uint64_t{0})),
         std::to_string(task.value("failures", uint64_t{0})),
         task.value("worker", ""),
         is_running ? ResourcesText(task.value("grant", json::object())) : "",
         task.value("why", "")});
  }
  output.out << "\n" << table.ToText();
}

void ShowJob(json job,
             const std::vector<EntryView>& views,
             const Output& output) {
  if (job.contains("tasks")) {
    Complete(job, views);
  }
  Show(job, output, [&] {
    PrintJob(job, views, output);
    const json tasks = job.value("tasks", json::array());
    if (!tasks.empty()) {
      PrintTasks(tasks, output);
    }
  });
}

}  // namespace

ExitCode RunExplain(const std::string& job,
                    EntryClient& client,
                    const Output& output) {
  return ShowAnswerTo(Query(PathOf(job)), client, output, [&](json body) {
    ShowJob(std::move(body), AskAll(job, client), output);
  });
}

}  // namespace papayadrift::control
