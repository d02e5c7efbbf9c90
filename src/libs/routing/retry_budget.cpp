#include "routing/retry_budget.h"

#include <algorithm>
#include <cassert>

namespace papayadrift::routing {

RetryBudget::RetryBudget(double ratio, size_t maximum_tokens)
    : ratio_(ratio), maximum_tokens_(static_cast<double>(maximum_tokens)) {}

void RetryBudget::SetRatio(double ratio) {
  ratio_ = ratio;
}

void RetryBudget::AddFirstSend() {
  tokens_ = std::min(tokens_ + ratio_, maximum_tokens_);
}

bool RetryBudget::has_token() const {
  return tokens_ >= 1;
}

void RetryBudget::TakeToken() {
  assert(has_token());
  tokens_ -= 1;
}

}  // namespace papayadrift::routing
