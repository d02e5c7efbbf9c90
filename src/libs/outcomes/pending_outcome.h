#ifndef PAPAYADRIFT_OUTCOMES_PENDING_OUTCOME_H_
#define PAPAYADRIFT_OUTCOMES_PENDING_OUTCOME_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <vector>

#include "outcomes/outcome.h"

namespace papayadrift::outcomes {

// Counts of one customer and service, by IndexOf(). Shared with the ledger.
struct OutcomeCells {
  OutcomeCells();

  std::vector<std::atomic<uint64_t>> counts;
  std::atomic<uint64_t> violations{0};  // Ended twice, or never.
};

// The one outcome that a request or attempt will have. Forgetting it is
// recorded as "entry_lost" and as a violation, and so is ending it twice.
class PendingOutcome {
 public:
  explicit PendingOutcome(std::shared_ptr<OutcomeCells> cells);
  ~PendingOutcome();
  PendingOutcome(PendingOutcome&& other) noexcept;
  PendingOutcome& operator=(PendingOutcome&& other) = delete;

  // Records the outcome; only the first one counts.
  void End(const Outcome& outcome);
  bool has_ended() const { return has_ended_; }

 private:
  std::shared_ptr<OutcomeCells> cells_;  // Null once moved from.
  bool has_ended_ = false;
};

}  // namespace papayadrift::outcomes

#endif  // PAPAYADRIFT_OUTCOMES_PENDING_OUTCOME_H_
