#include "routing/actions.h"

namespace papayadrift::routing {

std::string_view ToText(SendOutcome outcome) {
  switch (outcome) {
    case SendOutcome::kAnswered:
      return "answered";
    case SendOutcome::kAnsweredLate:
      return "answered_late";
    case SendOutcome::kMismatched:
      return "mismatched";
    case SendOutcome::kNotConnected:
      return "not_connected";
    case SendOutcome::kLost:
      return "lost";
    case SendOutcome::kTimedOut:
      return "timed_out";
    case SendOutcome::kTruncated:
      return "truncated";
    case SendOutcome::kTooLarge:
      return "too_large";
    case SendOutcome::kServerFailed:
      return "server_failed";
  }
  return "unknown";
}

}  // namespace papayadrift::routing
