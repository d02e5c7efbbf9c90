#include "outcomes/pending_outcome.h"

#include <utility>

namespace papayadrift::outcomes {

OutcomeCells::OutcomeCells() : counts(OutcomeCount()) {}

PendingOutcome::PendingOutcome(std::shared_ptr<OutcomeCells> cells)
    : cells_(std::move(cells)) {}

PendingOutcome::~PendingOutcome() {
  if (cells_ == nullptr || has_ended_) {
    return;
  }
  cells_->violations.fetch_add(1);
  End({Refused{RefusalReason::kEntryLost}, Ran::kUnknown});
}

PendingOutcome::PendingOutcome(PendingOutcome&& other) noexcept
    : cells_(std::move(other.cells_)), has_ended_(other.has_ended_) {}

void PendingOutcome::End(const Outcome& outcome) {
  if (std::exchange(has_ended_, true)) {
    cells_->violations.fetch_add(1);
    return;
  }
  cells_->counts[IndexOf(outcome)].fetch_add(1, std::memory_order_relaxed);
}

}  // namespace papayadrift::outcomes
