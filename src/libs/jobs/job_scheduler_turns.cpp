// The part of JobScheduler that gives turns out of the order by remaining work.
// Answers bursts in which smaller jobs keep coming: the widest jobs of a queue
// are last until they are late and last again after that, while results without
// value take capacity from work that can still earn.

#include <map>
#include <utility>
#include <vector>

#include "jobs/job_scheduler.h"
#include "jobs/ready_step.h"
#include "jobs/work_order.h"

namespace papayadrift::jobs {

void JobScheduler::GiveTurns(std::vector<ReadyStep>& ready,
                             int64_t unix_ms) const {
  const TurnOrderPolicy& policy = settings_.policy.scarcity.turn_order;
  if (!policy.is_enabled) {
    return;
  }
  // With more than one job a queue, most of them would be just late.
  std::map<const Queue*, std::pair<double, ReadyStep*>> least_slack;
  for (ReadyStep& it : ready) {
    const double slack = SlackShare(it.rank, it.remaining_ms, unix_ms);
    const Step& step = it.entry->job.steps[it.step];
    if (it.rank.is_late || it.rank.is_past_cutoff || step.is_long_running ||
        slack >= policy.min_slack) {
      continue;
    }
    const auto [found, is_new] =
        least_slack.try_emplace(it.queue, std::pair(slack, &it));
    if (!is_new && slack < found->second.first) {
      found->second = {slack, &it};
    }
  }
  for (const auto& [queue, first] : least_slack) {
    first.second->rank.has_no_turn = false;
  }
}

bool JobScheduler::YieldsToEarningWork(const ReadyStep& ready, Instant now) {
  const TurnOrderPolicy& policy = settings_.policy.scarcity.turn_order;
  if (!policy.is_enabled || !ready.rank.is_past_cutoff ||
      !services_with_waiting_work_.contains(ready.queue->service)) {
    return false;
  }
  const WaitingStep& waiting =
      ready.entry->waiting
          .try_emplace({ready.occurrence, ready.step}, WaitingStep{now})
          .first->second;
  return now - waiting.since < policy.longest_wait;
}

}  // namespace papayadrift::jobs
