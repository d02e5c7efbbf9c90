#ifndef PAPAYADRIFT_JOBS_WORK_ORDER_H_
#define PAPAYADRIFT_JOBS_WORK_ORDER_H_

#include <compare>
#include <cstdint>
#include <vector>

#include "jobs/job.h"
#include "jobs/job_tally.h"
#include "jobs/route_table.h"

// The order in which work gets capacity. In bursts of large jobs, small urgent
// jobs go first, and jobs that can no longer meet their target come after those
// that can.

namespace papayadrift::jobs {

// Work that is scheduled first compares as less.
struct WorkRank {
  bool is_past_cutoff = false;  // Its outcome has no value any more.
  uint32_t priority = 0;
  bool has_no_turn = true;  // Isn't the job of its queue that goes first.
  bool is_late = false;     // It can't meet its target any more.
  // Processor time that the occurrence still takes, in core-milliseconds.
  int64_t remaining_work = 0;
  int64_t target_ms = 0;  // Unix time at which the occurrence should be done.
  int64_t cutoff_ms = 0;  // Unix time from which its outcome has no value.

  friend auto operator<=>(const WorkRank&, const WorkRank&) = default;
};

// Returns for each step the expected milliseconds of the critical path that
// starts with it. `expected_ms` is that of one task, by step.
std::vector<int64_t> CriticalPathsMs(const Job& job,
                                     const std::vector<int64_t>& expected_ms);

// `remaining_ms` is the critical path that starts with the step in question.
WorkRank RankOf(const Job& job,
                const Queue& queue,
                uint32_t occurrence,
                int64_t longest_chain_ms,
                int64_t remaining_ms,
                int64_t remaining_work,
                int64_t now_unix_ms);

// Returns the share of the allowed time by which the work may still be held up
// and meet its target; negative: it can't meet it. `remaining_ms` is as above.
double SlackShare(const WorkRank& rank,
                  int64_t remaining_ms,
                  int64_t now_unix_ms);

// Returns the expected processor time of the tasks that are not done, in
// core-milliseconds.
int64_t RemainingWork(const Job& job,
                      const OccurrenceTally& tally,
                      const std::vector<int64_t>& expected_ms);

// Whether an occurrence may start. The first one of a job without a start time
// was due in 1970, and so were those that follow at short intervals.
bool IsDue(const Job& job, uint32_t occurrence, int64_t now_unix_ms);

// Unix time from which the time counts that an occurrence may take. Without a
// start time, the first one counts from the acceptance of its job.
int64_t DueMs(const Job& job, uint32_t occurrence);

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_WORK_ORDER_H_
