#include "entry/loan_metrics.h"

#include <string>

namespace papayadrift::entry {

std::string_view ToText(LoanStep step) {
  switch (step) {
    case LoanStep::kAsked:
      return "asked";
    case LoanStep::kBorrowed:
      return "borrowed";
    case LoanStep::kReturned:
      return "returned";
    case LoanStep::kLent:
      return "lent";
    case LoanStep::kTakenBack:
      return "taken_back";
    case LoanStep::kRanOut:
      return "ran_out";
  }
  return "";
}

LoanMetrics::LoanMetrics(metrics::Registry& registry)
    : lent_(registry.AddGauge("papayadrift_slots_lent",
                              "Slots lent to other entries.")),
      borrowed_(registry.AddGauge("papayadrift_slots_borrowed",
                                  "Slots borrowed from other entries.")) {
  constexpr auto kLast = static_cast<size_t>(LoanStep::kRanOut);
  for (size_t i = 0; i <= kLast; ++i) {
    steps_.push_back(&registry.AddCounter(
        "papayadrift_slot_loans_total", "Loans of slots between entries.",
        {{"step", std::string(ToText(static_cast<LoanStep>(i)))}}));
  }
}

void LoanMetrics::Count(LoanStep step, size_t n) {
  steps_[static_cast<size_t>(step)]->Add(n);
}

void LoanMetrics::SetSlots(int32_t lent, int32_t borrowed) {
  lent_.Set(lent);
  borrowed_.Set(borrowed);
}

uint64_t LoanMetrics::count(LoanStep step) const {
  return steps_[static_cast<size_t>(step)]->value();
}

}  // namespace papayadrift::entry
