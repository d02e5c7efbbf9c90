#ifndef PAPAYADRIFT_JOBS_WORK_ORDER_H_
#define PAPAYADRIFT_JOBS_WORK_ORDER_H_

#include <compare>
#include <cstdint>
#include <vector>

#include "jobs/duration_estimator.h"
#include "jobs/job.h"
#include "jobs/route_table.h"

// In which sequence work gets room. Answers bursts of large jobs: small urgent
// ones pass them, and jobs that can no longer be in time give way to those
// that can.

namespace papayadrift::jobs {

// What comes first compares as less.
struct WorkRank {
  bool is_past_cutoff = false;  // Its outcome is worth nothing any more.
  uint32_t priority = 0;
  bool is_late = false;   // It can't be done by its target any more.
  int64_t target_ms = 0;  // Unix time at which the occurrence should be done.
  int64_t cutoff_ms = 0;  // And from which that is worth nothing.

  friend auto operator<=>(const WorkRank&, const WorkRank&) = default;
};

// Milliseconds that the longest chain of steps is expected to take that begins
// with each step.
std::vector<int64_t> CriticalPathsMs(const Job& job,
                                     const DurationEstimator& durations);

// `rest_ms` is the chain that begins with the step in question.
WorkRank RankOf(const Job& job,
                const Queue& queue,
                uint32_t occurrence,
                int64_t longest_chain_ms,
                int64_t remaining_ms,
                int64_t now_unix_ms);

// Unix time from which an occurrence may start.
int64_t DueMs(const Job& job, uint32_t occurrence);

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_WORK_ORDER_H_
