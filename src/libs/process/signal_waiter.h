#ifndef PAPAYADRIFT_PROCESS_SIGNAL_WAITER_H_
#define PAPAYADRIFT_PROCESS_SIGNAL_WAITER_H_

#include <functional>
#include <mutex>
#include <thread>

namespace papayadrift::process {

// Takes SIGTERM and SIGINT on a thread of its own. To be constructed before
// any other thread, so that all inherit the blocked signals.
class SignalWaiter {
 public:
  SignalWaiter();
  ~SignalWaiter();
  SignalWaiter(const SignalWaiter&) = delete;
  SignalWaiter& operator=(const SignalWaiter&) = delete;

  // Runs `action` on each signal from now on, also for one that came before.
  void OnSignal(std::function<void()> action);

 private:
  void Run();

  std::mutex mutex_;
  std::function<void()> action_;
  bool has_signal_ = false;
  bool is_ending_ = false;
  std::thread thread_;
};

}  // namespace papayadrift::process

#endif  // PAPAYADRIFT_PROCESS_SIGNAL_WAITER_H_
