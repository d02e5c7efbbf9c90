#ifndef PAPAYADRIFT_ENTRY_LOAN_METRICS_H_
#define PAPAYADRIFT_ENTRY_LOAN_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "metrics/registry.h"

namespace papayadrift::entry {

// What happens to a loan of slots, at either side.
enum class LoanStep {
  kAsked,      // A peer was asked for one.
  kBorrowed,   // A peer lent.
  kReturned,   // Given back to the peer.
  kLent,       // Lent to a peer.
  kTakenBack,  // Given back by the peer.
  kRanOut,     // Back since its time has passed: the return did not come.
};

std::string_view ToText(LoanStep step);

// Counts loans of slots.
class LoanMetrics {
 public:
  explicit LoanMetrics(metrics::Registry& registry);

  void Count(LoanStep step, size_t n);
  void SetSlots(int32_t lent, int32_t borrowed);
  uint64_t count(LoanStep step) const;

 private:
  std::vector<metrics::Counter*> steps_;  // By LoanStep.
  metrics::Gauge& lent_;
  metrics::Gauge& borrowed_;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_LOAN_METRICS_H_
