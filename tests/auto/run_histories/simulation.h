#ifndef PAPAYADRIFT_TESTS_RUN_HISTORIES_SIMULATION_H_
#define PAPAYADRIFT_TESTS_RUN_HISTORIES_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "base/clock.h"
#include "base/instant.h"

namespace papayadrift::run_histories {

// Simulated time: events run one after the other, each at its time; those of
// one time in the order in which they were added.
class Simulation {
 public:
  using Action = std::function<void()>;

  Simulation();

  const Clock& clock() const { return clock_; }
  Instant Now() const { return clock_.Now(); }
  int64_t NowMs() const;
  int64_t UnixMs() const;
  void At(Instant due, Action action);
  void After(microseconds delay, Action action);
  void RunFor(milliseconds span);
  uint64_t event_count() const { return event_count_; }

 private:
  // Small, as events are moved often.
  struct Event {
    Instant due;
    uint32_t number;
    uint32_t slot;  // Of its action.
  };
  static bool IsLater(const Event& left, const Event& right);

  ManualClock clock_;
  std::vector<Event> events_;  // A heap.
  std::vector<Action> actions_;
  std::vector<uint32_t> free_slots_;
  uint32_t numbers_ = 0;
  uint64_t event_count_ = 0;
};

// Runs one action at a time; a later start replaces an earlier one. Does
// nothing once it is destroyed.
class Timer {
 public:
  explicit Timer(Simulation& simulation);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  void Start(microseconds delay, Simulation::Action action);
  void Cancel();

 private:
  Simulation& simulation_;
  const std::shared_ptr<uint64_t> starts_;
};

}  // namespace papayadrift::run_histories

#endif  // PAPAYADRIFT_TESTS_RUN_HISTORIES_SIMULATION_H_
