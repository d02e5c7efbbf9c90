#include "outcomes/outcome_report.h"

namespace papayadrift::outcomes {

std::string_view ToText(GapKind kind) {
  switch (kind) {
    case GapKind::kReportsMissing:
      return "reports_missing";
    case GapKind::kEndedUnreported:
      return "ended_unreported";
    case GapKind::kBeyondRetention:
      return "beyond_retention";
  }
  return "reports_missing";
}

}  // namespace papayadrift::outcomes
