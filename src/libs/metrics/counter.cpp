#include "metrics/counter.h"

namespace papayadrift::metrics {

void Counter::Add(uint64_t count) {
  value_.fetch_add(count, std::memory_order_relaxed);
}

uint64_t Counter::value() const {
  return value_.load(std::memory_order_relaxed);
}

}  // namespace papayadrift::metrics
