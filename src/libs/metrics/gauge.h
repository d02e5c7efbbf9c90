#ifndef PAPAYADRIFT_METRICS_GAUGE_H_
#define PAPAYADRIFT_METRICS_GAUGE_H_

#include <atomic>
#include <cstdint>

namespace papayadrift::metrics {

// An amount that rises and falls. Safe to share between threads.
class Gauge {
 public:
  void Set(int64_t value);
  void Add(int64_t change);
  int64_t value() const;

 private:
  std::atomic<int64_t> value_{0};
};

}  // namespace papayadrift::metrics

#endif  // PAPAYADRIFT_METRICS_GAUGE_H_
