#include "logging/event_budget.h"

#include <algorithm>

namespace papayadrift::logging {

EventBudget::EventBudget(const EventBudgetSettings& settings)
    : interval_(microseconds(seconds(1)) / settings.lines_per_second),
      depth_(interval_ * settings.burst_lines) {}

bool EventBudget::TryTake(Instant now) {
  const int64_t at = microseconds(now.time_since_epoch()).count();
  int64_t full_at = full_at_.load();
  int64_t next = 0;
  do {
    next = std::max(full_at, at) + interval_.count();
    if (next - at > depth_.count()) {
      ++left_out_;
      ++left_out_count_;
      return false;
    }
  } while (!full_at_.compare_exchange_weak(full_at, next));
  return true;
}

}  // namespace papayadrift::logging
