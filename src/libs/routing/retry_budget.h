#ifndef PAPAYADRIFT_ROUTING_RETRY_BUDGET_H_
#define PAPAYADRIFT_ROUTING_RETRY_BUDGET_H_

#include <cstddef>

namespace papayadrift::routing {

// Token bucket that limits retries and hedges to a ratio of first sends: after
// any number of events, all sends <= first sends * (1 + ratio).
class RetryBudget {
 public:
  // At most `maximum_tokens` extra sends are accumulated.
  RetryBudget(double ratio, size_t maximum_tokens);

  // Changes the ratio; accumulated tokens are kept.
  void SetRatio(double ratio);

  void AddFirstSend();

  bool has_token() const;

  // Takes one token; there must be one.
  void TakeToken();

 private:
  double ratio_;
  double maximum_tokens_;
  double tokens_ = 0;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_RETRY_BUDGET_H_
