#ifndef PAPAYADRIFT_OUTCOMES_OUTCOME_REPORT_H_
#define PAPAYADRIFT_OUTCOMES_OUTCOME_REPORT_H_

#include <string_view>
#include <vector>

#include "base/identifiers.h"
#include "base/instant.h"
#include "records/record.h"

namespace papayadrift::outcomes {

enum class GapKind {
  kReportsMissing,   // Sequences that never came.
  kEndedUnreported,  // The entry fell silent without a final report.
  kBeyondRetention,  // The stream no longer holds records that old.
};

std::string_view ToText(GapKind kind);

// An interval about which the record says nothing.
struct Gap {
  GapKind kind = GapKind::kReportsMissing;
  EntryId entry;  // Empty for kBeyondRetention.
  Incarnation incarnation;
  WallInstant from;
  WallInstant until;

  friend bool operator==(const Gap&, const Gap&) = default;
};

// What the record says about [since, until). Reports are not divided: one that
// overlaps an end is counted whole, so `covered_from` may be before `since`
// and `covered_until` after `until`.
struct OutcomeReport {
  WallInstant since;
  WallInstant until;
  WallInstant covered_from;
  WallInstant covered_until;
  std::vector<records::OutcomeCount> counts;  // One for each kind, sorted.
  std::vector<records::PromiseMissed> missed_promises;
  std::vector<Gap> gaps;

  friend bool operator==(const OutcomeReport&, const OutcomeReport&) = default;
};

}  // namespace papayadrift::outcomes

#endif  // PAPAYADRIFT_OUTCOMES_OUTCOME_REPORT_H_
