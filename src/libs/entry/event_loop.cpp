#include "entry/event_loop.h"

#include <utility>

namespace papayadrift::entry {

EventLoop::EventLoop(const Clock& clock)
    : clock_(clock), thread_([this] { Run(); }) {}

EventLoop::~EventLoop() {
  Stop();
}

void EventLoop::Post(Task task) {
  const std::lock_guard lock(mutex_);
  if (is_stopped_) {
    return;
  }
  ready_.push_back(std::move(task));
  changed_.notify_one();
}

void EventLoop::PostAt(Instant at, Task task) {
  const std::lock_guard lock(mutex_);
  if (is_stopped_) {
    return;
  }
  waiting_.emplace(at, std::move(task));
  changed_.notify_one();
}

void EventLoop::Stop() {
  {
    const std::lock_guard lock(mutex_);
    is_stopped_ = true;
    changed_.notify_one();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
  const std::lock_guard lock(mutex_);
  ready_.clear();
  waiting_.clear();
}

void EventLoop::Run() {
  while (const Task task = Next()) {
    task();
  }
}

Task EventLoop::Next() {
  std::unique_lock lock(mutex_);
  while (!is_stopped_) {
    const Instant now = clock_.Now();
    while (!waiting_.empty() && waiting_.begin()->first <= now) {
      ready_.push_back(std::move(waiting_.begin()->second));
      waiting_.erase(waiting_.begin());
    }
    if (!ready_.empty()) {
      Task task = std::move(ready_.front());
      ready_.pop_front();
      return task;
    }
    if (waiting_.empty()) {
      changed_.wait(lock);
    } else {
      changed_.wait_for(lock, waiting_.begin()->first - now);
    }
  }
  return nullptr;
}

}  // namespace papayadrift::entry
