#include "entry/admin_views.h"

#include <variant>

namespace papayadrift::entry {

namespace {

using nlohmann::json;

constexpr size_t kTasksInShort = 100;
constexpr size_t kMostTasks = 10'000;

std::string_view ToText(replay::WorkerPhase phase) {
  switch (phase) {
    case replay::WorkerPhase::kLive:
      return "live";
    case replay::WorkerPhase::kDraining:
      return "draining";
    case replay::WorkerPhase::kLapsed:
      return "lapsed";
  }
  return "";
}

size_t MostTasks(TaskDetail detail) {
  switch (detail) {
    case TaskDetail::kNone:
      return 0;
    case TaskDetail::kSome:
      return kTasksInShort;
    case TaskDetail::kAll:
      return kMostTasks;
  }
  return 0;
}

json ResourcesPart(const Resources& resources) {
  return {{"millicores", resources.millicores},
          {"memory_mebibytes", resources.memory_mebibytes},
          {"accelerators", resources.accelerators}};
}

placement::Decision DecisionOn(const RegionController& controller,
                               const TaskId& task) {
  return controller.placement().scheduler().Explain(task);
}

// Whether the decision was this entry's, not another one's.
bool IsOwn(const placement::Decision& decision) {
  return !std::holds_alternative<placement::NotDecided>(decision);
}

json TaskPart(const RegionController& controller,
              const TaskId& id,
              const replay::TaskState& task) {
  const placement::Decision decision = DecisionOn(controller, id);
  json row = {{"index", id.index},
              {"attempt", task.attempt.value()},
              {"failures", task.failures},
              {"is_running", task.is_live},
              {"is_evicting", task.is_evicting},
              {"is_decided_here", IsOwn(decision)},
              {"why", placement::ToText(decision)}};
  if (task.is_live) {
    row["worker"] = task.worker.worker.text();
    row["grant"] = ResourcesPart(task.grant);
  }
  return row;
}

json JobPart(const RegionController& controller,
             const JobId& id,
             const replay::JobState& job,
             TaskDetail detail) {
  json row = {{"job", id.text()},
              {"team", job.submitted.team.text()},
              {"kind", job.submitted.kind.text()},
              {"is_open", job.phase == replay::JobPhase::kOpen},
              {"waiting", job.counts.waiting},
              {"running", job.counts.live},
              {"finished", job.counts.finished},
              {"dropped", job.counts.dropped},
              {"failed_attempts", job.counts.failed_attempts},
              {"why_waiting", job.counts.waiting == 0
                                  ? ""
                                  : placement::ToText(DecisionOn(
                                        controller, {id, job.first_waiting}))}};
  json tasks = json::array();
  for (const auto& [index, task] : job.tasks) {
    if (tasks.size() == MostTasks(detail)) {
      break;
    }
    tasks.push_back(TaskPart(controller, {id, index}, task));
  }
  if (detail != TaskDetail::kNone) {
    row["tasks"] = std::move(tasks);
  }
  return row;
}

}  // namespace

json WorkersView(const RegionController& controller) {
  json list = json::array();
  for (const auto& [key, worker] :
       controller.decisions().state().workers().workers()) {
    json tasks = json::array();
    for (const TaskId& task : worker.live_tasks) {
      tasks.push_back(papayadrift::ToText(task));
    }
    json runners = json::array();
    for (const records::Runner& runner : worker.runners) {
      runners.push_back({{"service", runner.service.text()},
                         {"address", runner.address},
                         {"slots", runner.slots}});
    }
    list.push_back({{"worker", key.worker.text()},
                    {"incarnation", key.incarnation.value()},
                    {"availability_zone", worker.zone.text()},
                    {"rack", worker.rack.text()},
                    {"state", ToText(worker.phase)},
                    {"is_quarantined", worker.is_quarantined},
                    {"capacity", ResourcesPart(worker.capacity)},
                    {"reserved", ResourcesPart(worker.reserved)},
                    {"granted", ResourcesPart(worker.granted)},
                    {"runners", runners},
                    {"tasks", tasks}});
  }
  return list;
}

json TeamsView(const RegionController& controller) {
  json list = json::array();
  for (const placement::TeamView& team :
       controller.placement().scheduler().teams()) {
    list.push_back({{"team", team.team.text()},
                    {"quota", ResourcesPart(team.quota)},
                    {"used", ResourcesPart(team.used)},
                    {"dominant_share", team.dominant_share},
                    {"jobs_waiting", team.jobs_waiting}});
  }
  return list;
}

json JobsView(const RegionController& controller, TaskDetail detail) {
  json list = json::array();
  for (const auto& [id, job] : controller.decisions().state().jobs().jobs()) {
    list.push_back(JobPart(controller, id, job, detail));
  }
  return list;
}

std::optional<json> JobView(const RegionController& controller,
                            const JobId& job) {
  const replay::JobState* known =
      controller.decisions().state().jobs().FindJob(job);
  if (known == nullptr) {
    return std::nullopt;
  }
  return JobPart(controller, job, *known, TaskDetail::kAll);
}

json ConfigurationView(const RegionController& controller) {
  const ConfigurationInForce& in_force = controller.configuration().in_force();
  return {{"version", in_force.version.value()},
          {"author", in_force.author},
          {"text", in_force.text}};
}

json QuotasView(const RegionController& controller) {
  const replay::QuotaTable& quotas = controller.decisions().state().quotas();
  json held = json::array();
  for (const auto& [team, share] : quotas.holdings().held()) {
    held.push_back({{"team", team.text()},
                    {"held", ResourcesPart(share)},
                    {"granted", ResourcesPart(quotas.GrantedTo(team))}});
  }
  return {{"division", quotas.holdings().division().value()},
          {"is_raised", quotas.holdings().is_raised()},
          {"teams", held}};
}

json RegionsView(const RegionController& controller) {
  json list = json::array();
  for (const configuration::Region& region :
       controller.configuration().in_force().parsed.regions) {
    list.push_back(
        {{"region", region.region.text()},
         {"address", region.address},
         {"is_home", region.is_home},
         {"quota_weight", region.quota_weight},
         {"division_reached",
          controller.configuration().ReachedBy(region.region).value()}});
  }
  return list;
}

}  // namespace papayadrift::entry
