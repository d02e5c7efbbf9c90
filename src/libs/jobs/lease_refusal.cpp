#include "jobs/lease_refusal.h"

namespace papayadrift::jobs {

std::string_view Describe(LeaseRefusal refusal) {
  switch (refusal) {
    case LeaseRefusal::kRunsToStop:
      return "Starts of runs that were given up may still arrive.";
    case LeaseRefusal::kNoLists:
      return "The runner has not listed its runs yet.";
    case LeaseRefusal::kOldLists:
      return "The runner no longer lists its runs.";
    case LeaseRefusal::kUnreachable:
      return "Connections to the runner's address are refused.";
    case LeaseRefusal::kUnconfirmedStop:
      return "The runner does not carry out a stop.";
  }
  return "unknown";
}

}  // namespace papayadrift::jobs
