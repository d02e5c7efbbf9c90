#include "proposals/append_budget.h"

#include <algorithm>
#include <cassert>

namespace papayadrift::proposals {

AppendBudget::AppendBudget(microseconds interval, uint32_t burst)
    : interval_(interval), burst_(burst) {
  assert(burst > 0);
}

microseconds AppendBudget::IntervalPerProcess(uint32_t appends_per_second,
                                              uint32_t processes) {
  assert(appends_per_second > 0);
  return microseconds(seconds(std::max(processes, 1U))) / appends_per_second;
}

Instant AppendBudget::NextTokenAt() const {
  return full_at_ - interval_ * (burst_ - 1);
}

void AppendBudget::Take(Instant now) {
  assert(HasToken(now));
  full_at_ = std::max(full_at_, now) + interval_;
}

}  // namespace papayadrift::proposals
