#ifndef PAPAYADRIFT_BASE_EVENT_LOOP_H_
#define PAPAYADRIFT_BASE_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "base/instant.h"

namespace papayadrift {

// Runs one action at a time; a later start replaces the earlier one. Nothing
// runs after Cancel() or the destructor.
class Timer {
 public:
  virtual ~Timer() = default;

  // `action` never runs within this call.
  virtual void Start(microseconds delay, std::function<void()> action) = 0;
  virtual void Cancel() = 0;
};

// Runs the actions of one process, one after the other.
class EventLoop {
 public:
  virtual ~EventLoop() = default;

  // Must not outlive the loop.
  virtual std::unique_ptr<Timer> MakeTimer() = 0;
  // Runs `action` once the delay has passed, never within this call.
  virtual void RunAfter(microseconds delay, std::function<void()> action) = 0;
};

}  // namespace papayadrift

#endif  // PAPAYADRIFT_BASE_EVENT_LOOP_H_
