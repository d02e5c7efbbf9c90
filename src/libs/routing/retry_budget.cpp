#include "routing/retry_budget.h"

#include <algorithm>
#include <cassert>

namespace papayadrift::routing {

RetryBudget::RetryBudget(double part, size_t maximum_saved)
    : part_(part), maximum_saved_(static_cast<double>(maximum_saved)) {}

void RetryBudget::SetPart(double part) {
  part_ = part;
}

void RetryBudget::AddFirstSend() {
  saved_ = std::min(saved_ + part_, maximum_saved_);
}

bool RetryBudget::has_extra() const {
  return saved_ >= 1;
}

void RetryBudget::TakeExtra() {
  assert(has_extra());
  saved_ -= 1;
}

}  // namespace papayadrift::routing
