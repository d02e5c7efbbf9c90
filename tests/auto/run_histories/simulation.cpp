#include "simulation.h"

#include <algorithm>
#include <utility>

namespace papayadrift::run_histories {
namespace {

constexpr WallInstant kStart(milliseconds(1'700'000'000'000));

}  // namespace

Simulation::Simulation() : clock_(kStart) {
  // An unset instant must not look like a recent one.
  clock_.Advance(seconds(60));
}

int64_t Simulation::NowMs() const {
  return std::chrono::floor<milliseconds>(Now().time_since_epoch()).count();
}

int64_t Simulation::UnixMs() const {
  return clock_.WallNow().time_since_epoch().count();
}

bool Simulation::IsLater(const Event& left, const Event& right) {
  return left.due != right.due ? left.due > right.due
                               : left.number > right.number;
}

void Simulation::At(Instant due, Action action) {
  uint32_t slot = 0;
  if (free_slots_.empty()) {
    slot = static_cast<uint32_t>(actions_.size());
    actions_.push_back(std::move(action));
  } else {
    slot = free_slots_.back();
    free_slots_.pop_back();
    actions_[slot] = std::move(action);
  }
  events_.push_back({std::max(due, Now()), ++numbers_, slot});
  std::ranges::push_heap(events_, IsLater);
}

void Simulation::After(microseconds delay, Action action) {
  At(Now() + delay, std::move(action));
}

void Simulation::RunFor(milliseconds span) {
  const Instant end = Now() + span;
  while (!events_.empty() && events_.front().due <= end) {
    std::ranges::pop_heap(events_, IsLater);
    const Event event = events_.back();
    events_.pop_back();
    clock_.Advance(event.due - Now());
    ++event_count_;
    const Action action = std::exchange(actions_[event.slot], nullptr);
    free_slots_.push_back(event.slot);
    action();
  }
  clock_.Advance(end - Now());
}

Timer::Timer(Simulation& simulation)
    : simulation_(simulation), starts_(std::make_shared<uint64_t>(0)) {}

Timer::~Timer() {
  Cancel();
}

void Timer::Start(microseconds delay, Simulation::Action action) {
  const uint64_t number = ++*starts_;
  simulation_.After(delay,
                    [starts = starts_, number, action = std::move(action)] {
                      if (*starts == number) {
                        action();
                      }
                    });
}

void Timer::Cancel() {
  ++*starts_;
}

}  // namespace papayadrift::run_histories
