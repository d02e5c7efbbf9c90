#ifndef PAPAYADRIFT_TESTS_RUN_HISTORIES_PROCESS_LOOP_H_
#define PAPAYADRIFT_TESTS_RUN_HISTORIES_PROCESS_LOOP_H_

#include <deque>
#include <functional>
#include <memory>
#include <utility>

#include "base/clock.h"
#include "base/event_loop.h"
#include "base/instant.h"
#include "simulation.h"

namespace papayadrift::run_histories {

// The event loop of one simulated process. Nothing runs in it once it is
// destroyed, while it is frozen, or during the turn before.
class ProcessLoop : public EventLoop {
 public:
  using Action = std::function<void()>;

  explicit ProcessLoop(Simulation& simulation);
  ~ProcessLoop() override;
  ProcessLoop(const ProcessLoop&) = delete;
  ProcessLoop& operator=(const ProcessLoop&) = delete;

  std::unique_ptr<papayadrift::Timer> MakeTimer() override;
  void RunAfter(microseconds delay, Action action) override;

  // Runs `action` now, or as soon as the process can.
  void Run(Action action);
  // Returns a callback that runs `done` in this loop.
  template <typename... Arguments>
  std::function<void(Arguments...)> Enter(
      std::function<void(Arguments...)> done);
  void Freeze(Instant until);
  // Lets each turn take so long until `until`.
  void Slow(Instant until, microseconds turn);
  // Ends both.
  void Heal();

 private:
  struct State {
    Simulation& simulation;
    bool is_gone = false;
    Instant busy_until;
    Instant slow_until;
    microseconds turn{0};
    std::deque<Action> waiting;
  };
  class ProcessTimer;

  static void Run(const std::shared_ptr<State>& state, Action action);
  static void BeginTurn(State& state);
  // Runs the actions that wait, once the process can.
  static void ScheduleWaiting(const std::shared_ptr<State>& state);
  static void RunWaiting(const std::shared_ptr<State>& state);

  const std::shared_ptr<State> state_;
};

template <typename... Arguments>
std::function<void(Arguments...)> ProcessLoop::Enter(
    std::function<void(Arguments...)> done) {
  return [state = state_, done = std::move(done)](Arguments... arguments) {
    Run(state, [done, arguments...] { done(arguments...); });
  };
}

// A clock beside the simulation's.
class ProcessClock : public Clock {
 public:
  // `wall_lead` may change meanwhile, and must outlive the clock.
  ProcessClock(const Simulation& simulation,
               milliseconds lead,
               const milliseconds& wall_lead)
      : simulation_(simulation), lead_(lead), wall_lead_(wall_lead) {}

  Instant Now() const override { return simulation_.Now() + lead_; }
  WallInstant WallNow() const override {
    return simulation_.clock().WallNow() + wall_lead_;
  }

 private:
  const Simulation& simulation_;
  const milliseconds lead_;
  const milliseconds& wall_lead_;
};

}  // namespace papayadrift::run_histories

#endif  // PAPAYADRIFT_TESTS_RUN_HISTORIES_PROCESS_LOOP_H_
