#include "process/signal_waiter.h"

#include <pthread.h>
#include <signal.h>

#include <utility>

namespace papayadrift::process {

namespace {

// Wakes the thread when its owner ends; a process told so from outside ignores
// it.
constexpr int kWakeSignal = SIGUSR1;

sigset_t AwaitedSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, kWakeSignal);
  return signals;
}

}  // namespace

SignalWaiter::SignalWaiter() {
  const sigset_t signals = AwaitedSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  thread_ = std::thread([this] { Run(); });
}

SignalWaiter::~SignalWaiter() {
  {
    const std::lock_guard lock(mutex_);
    is_ending_ = true;
  }
  pthread_kill(thread_.native_handle(), kWakeSignal);
  thread_.join();
}

void SignalWaiter::OnSignal(std::function<void()> action) {
  const std::lock_guard lock(mutex_);
  action_ = std::move(action);
  if (has_signal_ && action_) {
    action_();
  }
}

void SignalWaiter::Run() {
  const sigset_t signals = AwaitedSignals();
  int signal = 0;
  while (sigwait(&signals, &signal) == 0) {
    const std::lock_guard lock(mutex_);
    if (is_ending_) {
      return;
    }
    if (signal == kWakeSignal) {
      continue;
    }
    has_signal_ = true;
    if (action_) {
      action_();
    }
  }
}

}  // namespace papayadrift::process
