#include "shared_state.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "routing/published.h"
#include "routing/serial_event_queue.h"

namespace papayadrift::routing {

namespace {

constexpr int kThreads = 4;
constexpr int kRounds = 50'000;
constexpr int kTrials = 7;
constexpr int kIterationsPerEvent = 200;

// Returns the duration of one round in nanoseconds with all threads running
// `round` concurrently.
double TimeOnce(const std::function<void()>& round) {
  const auto run = [&] {
    for (int it = 0; it < kRounds; ++it) {
      round();
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  const auto start = std::chrono::steady_clock::now();
  for (int it = 0; it < kThreads; ++it) {
    threads.emplace_back(run);
  }
  for (std::thread& it : threads) {
    it.join();
  }
  const std::chrono::duration<double, std::nano> taken =
      std::chrono::steady_clock::now() - start;
  return taken.count() / kRounds;
}

// Returns the minimum of several trials, as other load on the machine can only
// add to the duration.
double TimeRounds(const std::function<void()>& round) {
  double least = TimeOnce(round);
  for (int it = 1; it < kTrials; ++it) {
    least = std::min(least, TimeOnce(round));
  }
  return least;
}

// Calls `replace` periodically during its lifetime.
class Replacer {
 public:
  explicit Replacer(std::function<void()> replace)
      : thread_([this, replace = std::move(replace)] {
          while (!is_over_.load()) {
            replace();
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
          }
        }) {}
  ~Replacer() {
    is_over_ = true;
    thread_.join();
  }
  Replacer(const Replacer&) = delete;
  Replacer& operator=(const Replacer&) = delete;

 private:
  std::atomic<bool> is_over_{false};
  std::thread thread_;
};

// Simulates the work of the engine for one event.
struct Work {
  uint64_t state = 0;

  void operator()(int item) {
    for (int it = 0; it < kIterationsPerEvent; ++it) {
      state = state * 31 + static_cast<uint64_t>(item + it);
    }
  }
};

}  // namespace

ReadCost MeasureReads() {
  ReadCost cost;
  std::atomic<uint64_t> sum{0};
  {
    Published<uint64_t> value(1);
    const Replacer replacer([&] { value.Replace(2); });
    cost.published = TimeRounds([&] {
      if (value.Read([](uint64_t it) { return it; }) == 0) {
        ++sum;
      }
    });
  }
  std::atomic<std::shared_ptr<const uint64_t>> value(
      std::make_shared<const uint64_t>(1));
  const Replacer replacer(
      [&] { value.store(std::make_shared<const uint64_t>(2)); });
  cost.atomic_shared_pointer = TimeRounds([&] {
    if (*value.load() == 0) {
      ++sum;
    }
  });
  return cost;
}

PostCost MeasurePosts() {
  PostCost cost;
  SerialEventQueue<int, Work> queue((Work()));
  cost.queue = TimeRounds([&] { queue.Post(1); });
  std::mutex mutex;
  Work work;
  cost.mutex = TimeRounds([&] {
    const std::scoped_lock lock(mutex);
    work(1);
  });
  return cost;
}

}  // namespace papayadrift::routing
