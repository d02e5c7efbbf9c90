#ifndef PAPAYADRIFT_JOBS_LEASE_REFUSAL_H_
#define PAPAYADRIFT_JOBS_LEASE_REFUSAL_H_

#include <string_view>

namespace papayadrift::jobs {

// Why a runner whose agent reports gets no further lease.
enum class LeaseRefusal {
  kRunsToStop,       // Starts that were given up may still arrive there.
  kNoLists,          // The runner has not listed its runs yet.
  kOldLists,         // It has stopped to list them.
  kUnreachable,      // Connections to its address are refused.
  kUnconfirmedStop,  // It has not carried out a stop for very long.
};

// Returns the reason as a sentence, for logs.
std::string_view Describe(LeaseRefusal refusal);

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_LEASE_REFUSAL_H_
