#include "jobs/work_order.h"

#include <algorithm>
#include <vector>

namespace papayadrift::jobs {
namespace {

// An answer is worth nothing to its caller once it takes this many times as
// long as it should.
constexpr int64_t kUsefulTargets = 3;

}  // namespace

int64_t LongestChainMs(const Job& job, const DurationBook& durations) {
  std::vector<int64_t> ends;
  ends.reserve(job.steps.size());
  for (const Step& step : job.steps) {
    int64_t begin = 0;
    for (const uint32_t earlier : step.depends_on) {
      begin = std::max(begin, ends[earlier]);
    }
    ends.push_back(begin + durations.Expect(job.queue, step));
  }
  return ends.empty() ? 0 : std::ranges::max(ends);
}

int64_t DueMs(const Job& job, uint32_t occurrence) {
  return std::max(job.accepted_ms, job.first_due_ms) +
         job.interval_ms * static_cast<int64_t>(occurrence);
}

WorkRank RankOf(const Job& job,
                const Queue& queue,
                uint32_t occurrence,
                int64_t longest_chain_ms,
                int64_t now_unix_ms) {
  const int64_t due = DueMs(job, occurrence);
  const int64_t allowed =
      static_cast<int64_t>(queue.target_factor *
                           static_cast<double>(longest_chain_ms)) +
      queue.target_extra_ms;
  const bool is_lasting =
      std::ranges::any_of(job.steps, &Step::is_long_running);
  return WorkRank{!is_lasting && now_unix_ms > due + kUsefulTargets * allowed,
                  queue.priority, due + allowed,
                  due + kUsefulTargets * allowed};
}

}  // namespace papayadrift::jobs
