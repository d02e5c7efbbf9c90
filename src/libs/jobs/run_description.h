#ifndef PAPAYADRIFT_JOBS_RUN_DESCRIPTION_H_
#define PAPAYADRIFT_JOBS_RUN_DESCRIPTION_H_

#include <cstdint>
#include <string>

#include "base/instant.h"
#include "jobs/run.h"

// Sentences for the log about runs whose orders had no effect.

namespace papayadrift::jobs {

// Why a run is withdrawn whose start was sent as often as it may be.
std::string DescribeFailedStart(const Run& run);

// What is known of a stop that should have ended the run by now. The newest
// list of the runner is as new as `listed_at_ms`, on its agent's clock.
std::string DescribeOverdueStop(const Run& run,
                                int64_t listed_at_ms,
                                Instant now);

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_RUN_DESCRIPTION_H_
