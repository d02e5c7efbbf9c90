#ifndef PAPAYADRIFT_ENTRY_EVENT_LOOP_H_
#define PAPAYADRIFT_ENTRY_EVENT_LOOP_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "base/clock.h"
#include "base/instant.h"

namespace papayadrift::entry {

using Task = std::function<void()>;

// Runs tasks one at a time, in the order in which they were posted.
class TaskRunner {
 public:
  virtual ~TaskRunner() = default;

  // May be called from any thread. Does nothing once the runner has stopped.
  virtual void Post(Task task) = 0;
};

// A thread that runs tasks, at once or at an instant.
class EventLoop : public TaskRunner {
 public:
  explicit EventLoop(const Clock& clock);
  ~EventLoop() override;

  void Post(Task task) override;
  // Runs the task not before `at`. Does nothing once the loop has stopped.
  void PostAt(Instant at, Task task);
  // Ends the thread after the task that runs now; what waits is dropped.
  void Stop();

 private:
  void Run();
  // Returns the next task that is due, waiting for one; empty when stopped.
  Task Next();

  const Clock& clock_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Task> ready_;
  std::multimap<Instant, Task> waiting_;
  bool is_stopped_ = false;
  std::thread thread_;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_EVENT_LOOP_H_
