#include "metrics/gauge.h"

namespace papayadrift::metrics {

void Gauge::Set(int64_t value) {
  value_.store(value, std::memory_order_relaxed);
}

void Gauge::Add(int64_t change) {
  value_.fetch_add(change, std::memory_order_relaxed);
}

int64_t Gauge::value() const {
  return value_.load(std::memory_order_relaxed);
}

}  // namespace papayadrift::metrics
