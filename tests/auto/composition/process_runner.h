#ifndef PAPAYADRIFT_TESTS_COMPOSITION_PROCESS_RUNNER_H_
#define PAPAYADRIFT_TESTS_COMPOSITION_PROCESS_RUNNER_H_

#include <algorithm>
#include <deque>
#include <memory>
#include <utility>

#include "entry/event_loop.h"
#include "routing/simulated_clock.h"

namespace papayadrift::test {

// The control thread of a process on manual time, which may be paused or
// stopped.
class ProcessRunner : public entry::TaskRunner,
                      public std::enable_shared_from_this<ProcessRunner> {
 public:
  explicit ProcessRunner(routing::SimulatedClock& timeline)
      : timeline_(timeline) {}

  void Post(entry::Task task) override {
    PostAt(timeline_.now(), std::move(task));
  }

  void PostAt(Instant at, entry::Task task) {
    timeline_.At(at, [self = shared_from_this(), task = std::move(task)] {
      if (self->is_paused_) {
        self->held_.push_back(task);
      } else if (!self->is_stopped_) {
        task();
      }
    });
  }

  void Pause() { is_paused_ = true; }
  // Goes on with what came meanwhile, the newest first if `is_reversed`.
  void Resume(bool is_reversed) {
    is_paused_ = false;
    std::deque<entry::Task> held = std::exchange(held_, {});
    if (is_reversed) {
      std::ranges::reverse(held);
    }
    for (entry::Task& task : held) {
      Post(std::move(task));
    }
  }
  // What comes from now on is dropped.
  void Stop() {
    is_stopped_ = true;
    is_paused_ = false;
    held_.clear();
  }

  bool is_paused() const { return is_paused_; }
  bool is_stopped() const { return is_stopped_; }

 private:
  routing::SimulatedClock& timeline_;
  bool is_paused_ = false;
  bool is_stopped_ = false;
  std::deque<entry::Task> held_;
};

}  // namespace papayadrift::test

#endif  // PAPAYADRIFT_TESTS_COMPOSITION_PROCESS_RUNNER_H_
