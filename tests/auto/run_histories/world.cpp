#include "world.h"

#include <algorithm>
#include <ranges>
#include <utility>
#include <variant>

#include "cluster/topics.h"
#include "workload.h"

namespace papayadrift::run_histories {
namespace {

constexpr milliseconds kHeartbeatPeriod(1000);
constexpr milliseconds kWatchPeriod(400);
constexpr milliseconds kLeaderTimeout(1300);
constexpr milliseconds kCandidacySpread(400);
constexpr milliseconds kNotificationTimeout(1000);
// For the first leader to serve and to know the runners.
constexpr milliseconds kBeginning(900);
constexpr int64_t kFullMillicores = 2000;
constexpr int64_t kMemory = 2000;
constexpr std::array<int64_t, kLinksOfKind> kClockRates{98, 100};
// The longest wait in docs/design/21-waits.md, a takeover before it and the
// longest job after it.
constexpr milliseconds kSettlingLimit(30'000);
constexpr milliseconds kSettlingStep(250);
// From its first executed stop to the report that ends a withdrawn run: 1.3 s
// (docs/design/21-waits.md), and as much to spare.
constexpr milliseconds kStoppedRunLimit(2600);
// Small, so that histories have pages.
constexpr size_t kPageSize = 3;
constexpr size_t kReadSize = 4;

}  // namespace

World::World(Trace trace) : trace_(std::move(trace)) {
  store_.set_page_size(kPageSize);
  store_.set_read_size(kReadSize);
  for (size_t i = 0; i < kPairs; ++i) {
    front_stores_[i].emplace(simulation_, network_, store_,
                             Link{LinkKind::kStoreWrite, i},
                             Link{LinkKind::kStoreRead, i});
    agent_stores_[i].emplace(simulation_, network_, store_,
                             Link{LinkKind::kAgentRead, i},
                             Link{LinkKind::kAgentRead, i});
    ModelRunnerSettings settings;
    settings.index = i;
    settings.clock_rate_percent = kClockRates.at(i);
    runners_[i].emplace(settings, simulation_, referee_);
    StartFront(i);
  }
  fronts_[0]->Campaign();
  for (size_t i = 0; i < kPairs; ++i) {
    StartAgent(i, milliseconds(0));
    StartRunner(i, "r" + std::to_string(++instances_));
  }
  led_at_ = simulation_.Now();
  SendHeartbeats();
  WatchLeader();
  simulation_.RunFor(kBeginning);
}

void World::Log(const std::string& line) const {
  if (trace_) {
    trace_(std::to_string(simulation_.NowMs()) + " " + line);
  }
}

jobs::JobSchedulerEventListener World::ListenerOf(size_t front) const {
  if (!trace_) {
    return nullptr;
  }
  return [this, front](const jobs::JobSchedulerEvent& event) {
    Log("  front " + std::to_string(front) + ": " + event.subject + " run " +
        std::to_string(event.run) + " " + std::string(ToText(event.kind)) +
        " " + event.runner + " " + event.reason);
  };
}

void World::StartFront(size_t front) {
  fronts_.at(front) = std::make_shared<ModelFront>(
      front, simulation_, network_, *front_stores_.at(front), *this, referee_,
      [this](const std::string& address, const JobId& id) {
        NotifyLeader(address, id);
      },
      ListenerOf(front));
}

void World::StartAgent(size_t agent, milliseconds clock_lead) {
  agents_.at(agent) = std::make_shared<ModelAgent>(
      agent, clock_lead, simulation_, network_, *agent_stores_.at(agent), *this,
      *runners_.at(agent));
  agents_.at(agent)->Start();
}

void World::StartRunner(size_t runner, const std::string& instance) {
  if (!runners_.at(runner)->is_up()) {
    runners_.at(runner)->Start(instance);
    SendHeartbeat(runner);
  }
}

void World::NotifyLeader(const std::string& address, const JobId& id) {
  if (address.empty()) {
    return;
  }
  const size_t front = std::stoul(address);
  network_.Call<bool>(
      {LinkKind::kCancellation, front}, kNotificationTimeout,
      [this, front, id](const Delivery&,
                        const Network::Respond<bool>& respond) {
        fronts_.at(front)->OnCancelled(id);
        respond(true);
      },
      [](const std::optional<bool>&) {});
}

void World::SendHeartbeats() {
  for (size_t i = 0; i < kPairs; ++i) {
    SendHeartbeat(i);
  }
  simulation_.After(kHeartbeatPeriod, [this] { SendHeartbeats(); });
}

void World::SendHeartbeat(size_t runner) {
  if (!runners_.at(runner)->is_up()) {
    return;
  }
  network_.Call<bool>(
      {LinkKind::kAnnouncement, runner}, kHeartbeatPeriod,
      [this, runner, announcement = runners_.at(runner)->Announce()](
          const Delivery&, const Network::Respond<bool>&) {
        agents_.at(runner)->OnAnnouncement(announcement);
        if (announcement.capacity == runners_.at(runner)->capacity()) {
          referee_.OnCapacityKnown(runner);
        }
      },
      [](const std::optional<bool>&) {});
}

void World::WatchLeader() {
  const Instant now = simulation_.Now();
  if (std::ranges::any_of(
          fronts_, [](const auto& front) { return front->is_confirmed(); })) {
    led_at_ = now;
  }
  for (size_t i = 0; i < kPairs; ++i) {
    const milliseconds spread = kCandidacySpread * static_cast<int64_t>(i);
    if (now - led_at_ >= kLeaderTimeout + spread) {
      fronts_.at(i)->Campaign();
    }
  }
  simulation_.After(kWatchPeriod, [this] { WatchLeader(); });
}

void World::OnReport(const std::string& address,
                     const jobs::RunnerReport& report,
                     const Network::Respond<ReportReply>& respond) {
  fronts_.at(std::stoul(address))->OnReport(report, respond);
}

void World::OnOrders(size_t agent,
                     const jobs::OrderBatch& batch,
                     const Network::Respond<jobs::OrderAnswer>& respond) {
  agents_.at(agent)->OnOrders(batch, respond);
}

void World::OnLeader(size_t agent, const jobs::LeaderRecord& leader) {
  agents_.at(agent)->OnLeader(leader);
}

void World::Apply(const Step& step) {
  Log(ToText(step));
  std::visit([this](const auto& it) { Do(it); }, step);
}

void World::Do(const Pass& step) {
  simulation_.RunFor(step.span);
}

void World::Do(const Submit& step) {
  fronts_.at(step.front)->Submit(step.job);
}

void World::Do(const Cancel& step) {
  fronts_.at(step.front)->Cancel(step.job);
}

void World::Do(const Query& step) {
  fronts_.at(step.front)->Query(step.job);
}

void World::Do(const run_histories::Campaign& step) {
  fronts_.at(step.front)->Campaign();
}

void World::Do(const Resign& step) {
  fronts_.at(step.front)->Resign("f" + std::to_string(kPairs - 1 - step.front));
}

void World::Do(const RestartFront& step) {
  StartFront(step.front);
}

void World::Do(const CrashRunner& step) {
  ModelRunner& runner = *runners_.at(step.runner);
  if (!runner.is_up()) {
    return;
  }
  const std::string instance =
      step.keeps_name ? runner.instance() : "r" + std::to_string(++instances_);
  runner.Crash();
  // Its successor is born later, also if it starts at once.
  simulation_.After(
      step.down + milliseconds(1),
      [this, index = step.runner, instance] { StartRunner(index, instance); });
}

void World::Do(const RestartAgent& step) {
  // No two processes of an agent start in the same millisecond.
  simulation_.RunFor(milliseconds(1));
  StartAgent(step.agent, step.clock_lead);
}

void World::Do(const Resize& step) {
  runners_.at(step.runner)->set_capacity({step.millicores, kMemory, 0});
}

void World::Do(const EndRun& step) {
  runners_.at(step.runner)->EndRun(step.end);
}

void World::Do(const DropHistory& /*step*/) {
  for (const char* topic : {cluster::kJobsTopic, cluster::kProgressTopic}) {
    store_.Expire(topic, store_.end_of(topic));
  }
}

void World::Do(const Disturb& step) {
  network_.Inject(step.link, step.fault);
}

void World::Do(const Cut& step) {
  network_.Cut(step.link, simulation_.Now() + step.span);
}

bool World::IsRunning(const jobs::TaskKey& task) const {
  return std::ranges::any_of(runners_, [&](const auto& runner) {
    return runner->runs().contains(task);
  });
}

std::string World::MissingOf(size_t job) const {
  const std::string name = "job " + IdOf(job).text();
  const auto tasks = TasksOf(job);
  const bool is_running = std::ranges::any_of(
      tasks, [this](const jobs::TaskKey& task) { return IsRunning(task); });
  if (referee_.IsCancelled(job)) {
    return is_running ? name + " runs on after its cancellation" : "";
  }
  if (!referee_.IsAccepted(job) || referee_.IsCancelSent(job) ||
      referee_.HasFailed(job)) {
    return "";
  }
  const bool is_lasting = StepOfTask(tasks.front()).is_long_running;
  if (is_lasting) {
    return is_running ? "" : name + " doesn't run";
  }
  return std::ranges::all_of(
             tasks,
             [this](const jobs::TaskKey& it) { return referee_.IsDone(it); })
             ? ""
             : name + " isn't done";
}

std::string World::Missing() const {
  for (size_t job = 0; job < kJobs; ++job) {
    if (std::string missing = MissingOf(job); !missing.empty()) {
      return missing;
    }
  }
  for (size_t i = 0; i < kPairs; ++i) {
    if (runners_.at(i)->unseen_ends() > 0) {
      return "ends of runner " + std::to_string(i) + " aren't taken note of";
    }
  }
  return "";
}

void World::CheckStoppedRuns() {
  const Instant now = simulation_.Now();
  std::map<StoppedRun, Instant> kept;
  for (size_t i = 0; i < kPairs; ++i) {
    if (!fronts_.at(i)->is_confirmed()) {
      continue;
    }
    for (const auto& [incarnation, runner] :
         fronts_.at(i)->leader()->scheduler()->fleet().runners()) {
      for (const auto& [task, run] : runner.runs) {
        if (run.is_withdrawn && run.accepted_stops > 0) {
          const StoppedRun key{i, incarnation, task, run.number};
          const auto known = stopped_runs_.find(key);
          kept[key] = known == stopped_runs_.end() ? now : known->second;
        }
      }
    }
  }
  stopped_runs_ = std::move(kept);
  for (const auto& [run, since] : stopped_runs_) {
    if (now - since > kStoppedRunLimit) {
      referee_.OnOverdue(ToText(run.task) + " was stopped and is kept");
    }
  }
}

void World::Settle() {
  Log("Settle");
  network_.Heal();
  for (auto& runner : runners_) {
    runner->set_capacity({kFullMillicores, kMemory, 0});
  }
  std::string missing;
  for (milliseconds passed(0); passed < kSettlingLimit && !violation();
       passed += kSettlingStep) {
    simulation_.RunFor(kSettlingStep);
    CheckStoppedRuns();
    missing = Missing();
    if (missing.empty()) {
      return;
    }
  }
  referee_.OnOverdue(missing);
}

Outcome Play(const History& history, bool settles, const World::Trace& trace) {
  World world(trace);
  const Instant begin = world.Now();
  for (const Step& step : history) {
    world.Apply(step);
    if (world.violation()) {
      break;
    }
  }
  if (settles && !world.violation()) {
    world.Settle();
  }
  return {world.violation(), world.event_count(),
          std::chrono::floor<milliseconds>(world.Now() - begin)};
}

}  // namespace papayadrift::run_histories
