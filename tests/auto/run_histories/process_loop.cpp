#include "process_loop.h"

#include <algorithm>
#include <cstdint>

namespace papayadrift::run_histories {

class ProcessLoop::ProcessTimer : public papayadrift::Timer {
 public:
  explicit ProcessTimer(std::shared_ptr<State> state)
      : state_(std::move(state)), starts_(std::make_shared<uint64_t>(0)) {}
  ~ProcessTimer() override { ProcessTimer::Cancel(); }
  ProcessTimer(const ProcessTimer&) = delete;
  ProcessTimer& operator=(const ProcessTimer&) = delete;

  void Start(microseconds delay, Action action) override {
    const uint64_t number = ++*starts_;
    state_->simulation.After(delay, [state = state_, starts = starts_, number,
                                     action = std::move(action)]() mutable {
      if (*starts != number) {
        return;
      }
      ProcessLoop::Run(state, [starts, number, action = std::move(action)] {
        if (*starts == number) {
          action();
        }
      });
    });
  }
  void Cancel() override { ++*starts_; }

 private:
  const std::shared_ptr<State> state_;
  const std::shared_ptr<uint64_t> starts_;
};

ProcessLoop::ProcessLoop(Simulation& simulation)
    : state_(std::make_shared<State>(State{simulation})) {}

ProcessLoop::~ProcessLoop() {
  state_->is_gone = true;
}

std::unique_ptr<papayadrift::Timer> ProcessLoop::MakeTimer() {
  return std::make_unique<ProcessTimer>(state_);
}

void ProcessLoop::RunAfter(microseconds delay, Action action) {
  state_->simulation.After(
      delay, [state = state_, action = std::move(action)]() mutable {
        Run(state, std::move(action));
      });
}

void ProcessLoop::Run(Action action) {
  Run(state_, std::move(action));
}

void ProcessLoop::Run(const std::shared_ptr<State>& state, Action action) {
  if (state->is_gone) {
    return;
  }
  if (state->waiting.empty() && state->simulation.Now() >= state->busy_until) {
    BeginTurn(*state);
    action();
    return;
  }
  state->waiting.push_back(std::move(action));
  if (state->waiting.size() == 1) {
    ScheduleWaiting(state);
  }
}

void ProcessLoop::BeginTurn(State& state) {
  const Instant now = state.simulation.Now();
  if (now < state.slow_until) {
    state.busy_until = now + state.turn;
  }
}

void ProcessLoop::ScheduleWaiting(const std::shared_ptr<State>& state) {
  state->simulation.At(state->busy_until, [state] { RunWaiting(state); });
}

void ProcessLoop::RunWaiting(const std::shared_ptr<State>& state) {
  while (!state->is_gone && !state->waiting.empty()) {
    if (state->simulation.Now() < state->busy_until) {
      ScheduleWaiting(state);
      return;
    }
    const Action action = std::move(state->waiting.front());
    state->waiting.pop_front();
    BeginTurn(*state);
    action();
  }
}

void ProcessLoop::Freeze(Instant until) {
  state_->busy_until = std::max(state_->busy_until, until);
}

void ProcessLoop::Slow(Instant until, microseconds turn) {
  state_->slow_until = until;
  state_->turn = turn;
}

void ProcessLoop::Heal() {
  state_->busy_until = state_->slow_until = state_->simulation.Now();
  state_->simulation.After(microseconds(0),
                           [state = state_] { RunWaiting(state); });
}

}  // namespace papayadrift::run_histories
