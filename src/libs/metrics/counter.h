#ifndef PAPAYADRIFT_METRICS_COUNTER_H_
#define PAPAYADRIFT_METRICS_COUNTER_H_

#include <atomic>
#include <cstdint>

namespace papayadrift::metrics {

// A number of events; only grows. Safe to share between threads.
class Counter {
 public:
  void Add(uint64_t count = 1);
  uint64_t value() const;

 private:
  std::atomic<uint64_t> value_{0};
};

}  // namespace papayadrift::metrics

#endif  // PAPAYADRIFT_METRICS_COUNTER_H_
