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
// Of a frontend, from its shutdown to its end; and for which an agent may wait.
constexpr milliseconds kDrainTime(2500);
constexpr milliseconds kAgentGrace(4000);
constexpr microseconds kSlowTurn(20'000);
// From the end of a runner's process to the start of its next one: longer than
// its agent needs to see its connection closed.
constexpr milliseconds kLeastDownTime(10);
// The time of day is close to the true time.
constexpr milliseconds kMaxWallLead(20'000);
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

void MoveClock(milliseconds& lead, milliseconds by) {
  lead = std::clamp(lead + by, -kMaxWallLead, kMaxWallLead);
}

}  // namespace

World::World(Trace trace, Coverage* coverage)
    : trace_(std::move(trace)), coverage_(coverage) {
  store_.set_page_size(kPageSize);
  store_.set_read_size(kReadSize);
  for (size_t i = 0; i < kPairs; ++i) {
    ModelRunnerSettings settings;
    settings.index = i;
    settings.clock_rate_percent = kClockRates.at(i);
    runners_[i].emplace(settings, runner_wall_leads_[i], simulation_, referee_);
    StartFront(i);
  }
  for (size_t i = 0; i < kPairs; ++i) {
    StartAgent(i, milliseconds(0));
    StartRunner(i, "r" + std::to_string(++instances_));
  }
  SendHeartbeats();
  simulation_.RunFor(kBeginning);
}

void World::Log(const std::string& line) const {
  if (trace_) {
    trace_(std::to_string(simulation_.NowMs()) + " " + line);
  }
}

TraceLog::Trace World::LogTrace() const {
  return trace_
             ? TraceLog::Trace([this](const std::string& line) { Log(line); })
             : nullptr;
}

void World::StartFront(size_t front) {
  fronts_.at(front) = std::make_unique<FrontProcess>(
      front, front_wall_leads_.at(front), simulation_, network_, store_, *this,
      referee_, LogTrace(), coverage_);
}

void World::StartAgent(size_t agent, milliseconds clock_lead) {
  agents_.at(agent) = std::make_unique<AgentProcess>(
      agent, clock_lead, runner_wall_leads_.at(agent), simulation_, network_,
      store_, *this, *runners_.at(agent), LogTrace(), coverage_);
}

void World::StartRunner(size_t runner, const std::string& instance) {
  if (!runners_.at(runner)->is_up()) {
    runners_.at(runner)->Start(instance);
    SendHeartbeat(runner);
  }
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
        AgentProcess& process = *agents_.at(runner);
        process.loop().Run([this, &process, runner, announcement] {
          process.agent().OnAnnouncement(announcement);
          if (announcement.capacity == runners_.at(runner)->capacity()) {
            referee_.OnCapacityKnown(runner);
          }
        });
      },
      [](const std::optional<bool>&) {});
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

void World::Do(const FreezeFront& step) {
  fronts_.at(step.front)->loop().Freeze(simulation_.Now() + step.span);
}

void World::Do(const SlowFront& step) {
  fronts_.at(step.front)->loop().Slow(simulation_.Now() + step.span, kSlowTurn);
}

void World::Do(const StopFront& step) {
  FrontProcess& front = *fronts_.at(step.front);
  front.loop().Run([&front] { front.frontend().Stop(); });
  front.loop().RunAfter(kDrainTime, [this, index = step.front] {
    // The next process can't replace this one within its own turn.
    simulation_.After(microseconds(0), [this, index] { StartFront(index); });
  });
}

void World::Do(const FreezeAgent& step) {
  agents_.at(step.agent)->loop().Freeze(simulation_.Now() + step.span);
}

void World::Do(const StopAgent& step) {
  AgentProcess& agent = *agents_.at(step.agent);
  agent.loop().Run([this, &agent, index = step.agent] {
    agent.agent().Stop(agent.clock().Now() + kAgentGrace, [this, index] {
      simulation_.After(milliseconds(1),
                        [this, index] { StartAgent(index, milliseconds(0)); });
    });
  });
}

void World::Do(const MoveFrontClock& step) {
  MoveClock(front_wall_leads_.at(step.front), step.by);
}

void World::Do(const MoveRunnerClock& step) {
  MoveClock(runner_wall_leads_.at(step.runner), step.by);
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
  simulation_.After(
      step.down + kLeastDownTime,
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
    const cluster::Leader* leader = fronts_.at(i)->confirmed_leader();
    if (leader == nullptr) {
      continue;
    }
    for (const auto& [incarnation, runner] :
         leader->scheduler()->fleet().runners()) {
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
  for (size_t i = 0; i < kPairs; ++i) {
    fronts_.at(i)->loop().Heal();
    agents_.at(i)->loop().Heal();
  }
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

Outcome Play(const History& history,
             bool settles,
             const World::Trace& trace,
             Coverage* coverage) {
  World world(trace, coverage);
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
