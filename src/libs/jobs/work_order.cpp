#include "jobs/work_order.h"

#include <algorithm>
#include <vector>

namespace papayadrift::jobs {
namespace {

// A result has no value to its caller once it takes this many times the allowed
// time.
constexpr int64_t kCutoffTargets = 3;

// Returns the time from the first occurrence to this one.
int64_t OffsetMs(const Job& job, uint32_t occurrence) {
  // Later than any time that is given; sums with durations don't overflow.
  constexpr int64_t kNeverMs = int64_t{1} << 60;
  return job.interval_ms > 0 && occurrence > kNeverMs / job.interval_ms
             ? kNeverMs
             : job.interval_ms * static_cast<int64_t>(occurrence);
}

}  // namespace

std::vector<int64_t> CriticalPathsMs(const Job& job,
                                     const std::vector<int64_t>& expected_ms) {
  std::vector<int64_t> chains(job.steps.size(), 0);
  // Steps depend on earlier ones only.
  for (size_t i = job.steps.size(); i-- > 0;) {
    chains[i] += expected_ms[i];
    for (const uint32_t earlier : job.steps[i].depends_on) {
      chains[earlier] = std::max(chains[earlier], chains[i]);
    }
  }
  return chains;
}

int64_t RemainingWork(const Job& job,
                      const OccurrenceTally& tally,
                      const std::vector<int64_t>& expected_ms) {
  constexpr int64_t kMillicoresPerCore = 1000;
  int64_t work = 0;
  for (size_t i = 0; i < job.steps.size(); ++i) {
    work += int64_t{tally[i].open} * job.steps[i].need.millicores *
            expected_ms[i] / kMillicoresPerCore;
  }
  return work;
}

bool IsDue(const Job& job, uint32_t occurrence, int64_t now_unix_ms) {
  return job.first_due_ms + OffsetMs(job, occurrence) <= now_unix_ms;
}

int64_t DueMs(const Job& job, uint32_t occurrence) {
  return (job.first_due_ms > 0 ? job.first_due_ms : job.accepted_ms) +
         OffsetMs(job, occurrence);
}

double SlackShare(const WorkRank& rank,
                  int64_t remaining_ms,
                  int64_t now_unix_ms) {
  const int64_t allowed =
      (rank.cutoff_ms - rank.target_ms) / (kCutoffTargets - 1);
  return static_cast<double>(rank.target_ms - now_unix_ms - remaining_ms) /
         static_cast<double>(std::max<int64_t>(1, allowed));
}

WorkRank RankOf(const Job& job,
                const Queue& queue,
                uint32_t occurrence,
                int64_t longest_chain_ms,
                int64_t remaining_ms,
                int64_t remaining_work,
                int64_t now_unix_ms) {
  // Occurrences that were due before the job was accepted couldn't be served
  // then; they are late only once their time since the acceptance is over.
  const int64_t due = std::max(DueMs(job, occurrence), job.accepted_ms);
  const int64_t allowed =
      static_cast<int64_t>(queue.target_factor *
                           static_cast<double>(longest_chain_ms)) +
      queue.target_extra_ms;
  const bool has_long_running_step =
      std::ranges::any_of(job.steps, &Step::is_long_running);
  return WorkRank{
      !has_long_running_step && now_unix_ms > due + kCutoffTargets * allowed,
      queue.priority,
      true,
      now_unix_ms + remaining_ms > due + allowed,
      remaining_work,
      due + allowed,
      due + kCutoffTargets * allowed};
}

}  // namespace papayadrift::jobs
