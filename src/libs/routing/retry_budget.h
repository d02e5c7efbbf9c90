#ifndef PAPAYADRIFT_ROUTING_RETRY_BUDGET_H_
#define PAPAYADRIFT_ROUTING_RETRY_BUDGET_H_

#include <cstddef>

namespace papayadrift::routing {

// Bounds retries and hedges to a part of first sends: after any number of
// events, all sends <= first sends * (1 + part).
class RetryBudget {
 public:
  // At most `maximum_saved` extra sends are saved up for later.
  RetryBudget(double part, size_t maximum_saved);

  // Changes the part; what is saved up stays.
  void SetPart(double part);

  void AddFirstSend();

  bool has_extra() const;

  // Takes one extra send; there must be one.
  void TakeExtra();

 private:
  double part_;
  double maximum_saved_;
  double saved_ = 0;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_RETRY_BUDGET_H_
