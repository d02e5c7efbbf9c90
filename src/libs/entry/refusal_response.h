#ifndef PAPAYADRIFT_ENTRY_REFUSAL_RESPONSE_H_
#define PAPAYADRIFT_ENTRY_REFUSAL_RESPONSE_H_

#include <string>

#include "base/instant.h"
#include "base/refusal.h"
#include "http/message.h"

namespace papayadrift::entry {

// Returns the HTTP status that goes with a reason.
int StatusOf(RefusalReason reason);

// Returns the refusal of a request that was certainly not run.
Refusal NotRun(RefusalReason reason, std::string detail);

// Returns the response that tells a refusal: JSON with `reason`, `ran`,
// `detail` and, where it is known, `retry_after_ms`.
http::Response ResponseTo(const Refusal& refusal, WallInstant now);

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_REFUSAL_RESPONSE_H_
