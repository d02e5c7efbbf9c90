#ifndef PAPAYADRIFT_TESTS_RUN_HISTORIES_WORLD_H_
#define PAPAYADRIFT_TESTS_RUN_HISTORIES_WORLD_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "agent_process.h"
#include "fake_keyed_log.h"
#include "front_process.h"
#include "jobs/job_scheduler.h"
#include "model_runner.h"
#include "network.h"
#include "referee.h"
#include "simulation.h"
#include "step.h"
#include "store_client.h"
#include "trace_log.h"
#include "wiring.h"

namespace papayadrift::run_histories {

// Two frontends, and two runners with an agent each, around one store, at the
// beginning of a day: a leader is elected and knows the runners.
class World : public Wiring {
 public:
  using Trace = TraceLog::Trace;

  // Tells `trace` of steps and of the leaders' decisions, if there is one.
  // `coverage` may be null.
  explicit World(Trace trace = nullptr, Coverage* coverage = nullptr);

  void Apply(const Step& step);
  // Ends all faults and lets time pass until everything that was asked for is
  // done, or for as long as that may take; what is missing then breaks a rule.
  void Settle();

  const std::optional<std::string>& violation() const {
    return referee_.violation();
  }
  uint64_t event_count() const { return simulation_.event_count(); }
  Instant Now() const { return simulation_.Now(); }

  FrontProcess& FrontAt(size_t index) override { return *fronts_.at(index); }
  AgentProcess& AgentAt(size_t index) override { return *agents_.at(index); }

 private:
  static constexpr size_t kPairs = kLinksOfKind;

  struct StoppedRun {
    size_t front = 0;
    jobs::RunnerIncarnation runner;
    jobs::TaskKey task;
    uint32_t number = 0;

    friend auto operator<=>(const StoppedRun&, const StoppedRun&) = default;
  };

  void Do(const Pass& step);
  void Do(const Submit& step);
  void Do(const Cancel& step);
  void Do(const Query& step);
  void Do(const FreezeFront& step);
  void Do(const SlowFront& step);
  void Do(const StopFront& step);
  void Do(const FreezeAgent& step);
  void Do(const StopAgent& step);
  void Do(const MoveFrontClock& step);
  void Do(const MoveRunnerClock& step);
  void Do(const RestartFront& step);
  void Do(const CrashRunner& step);
  void Do(const RestartAgent& step);
  void Do(const Resize& step);
  void Do(const EndRun& step);
  void Do(const DropHistory& step);
  void Do(const Disturb& step);
  void Do(const Cut& step);

  void Log(const std::string& line) const;
  // Passes on what processes log.
  TraceLog::Trace LogTrace() const;
  void StartFront(size_t front);
  void StartAgent(size_t agent, milliseconds clock_lead);
  void StartRunner(size_t runner, const std::string& instance);
  void SendHeartbeats();
  void SendHeartbeat(size_t runner);
  // Notes which withdrawn runs the leader keeps although their stops are
  // executed; one that it keeps for long breaks a rule.
  void CheckStoppedRuns();
  // Returns what callers and runners still wait for; empty: nothing.
  std::string Missing() const;
  std::string MissingOf(size_t job) const;
  bool IsRunning(const jobs::TaskKey& task) const;

  const Trace trace_;
  Coverage* const coverage_;
  Simulation simulation_;
  Network network_{simulation_};
  Referee referee_{simulation_};
  keyed_log::FakeKeyedLog store_;
  std::array<std::optional<ModelRunner>, kPairs> runners_;
  std::array<std::unique_ptr<AgentProcess>, kPairs> agents_;
  std::array<std::unique_ptr<FrontProcess>, kPairs> fronts_;
  // By how much the time of day on each VM is ahead.
  std::array<milliseconds, kPairs> front_wall_leads_{};
  std::array<milliseconds, kPairs> runner_wall_leads_{};
  uint64_t instances_ = 0;  // Names of runners given so far.
  std::map<StoppedRun, Instant> stopped_runs_;  // Since when.
};

struct Outcome {
  std::optional<std::string> violation;  // The rule that was broken first.
  uint64_t states = 0;                   // Checked, each after one event.
  milliseconds span{0};                  // Simulated.

  friend bool operator==(const Outcome&, const Outcome&) = default;
};

// Plays the history in a new world. `settles`: also checks that everything is
// done in the end.
Outcome Play(const History& history,
             bool settles,
             const World::Trace& trace = nullptr,
             Coverage* coverage = nullptr);

}  // namespace papayadrift::run_histories

#endif  // PAPAYADRIFT_TESTS_RUN_HISTORIES_WORLD_H_
