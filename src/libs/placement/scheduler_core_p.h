#ifndef PAPAYADRIFT_PLACEMENT_SCHEDULER_CORE_P_H_
#define PAPAYADRIFT_PLACEMENT_SCHEDULER_CORE_P_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "placement/action.h"
#include "placement/counters.h"
#include "placement/fleet_p.h"
#include "placement/interference_model.h"
#include "placement/job_table_p.h"
#include "placement/policy_table_p.h"
#include "placement/separation_rules_p.h"
#include "placement/settings.h"
#include "placement/team_shares_p.h"
#include "placement/usage_model.h"
#include "placement/worker_health_p.h"

namespace papayadrift::placement {

// State shared by the components of one scheduler. Each operation keeps the
// capacity accounting, the queues and the teams' usage consistent.
class SchedulerCore {
 public:
  SchedulerCore(const Settings& settings,
                UsageModel& usage,
                InterferenceModel& interference);

  // Proposes the next attempt of the pending task with the index or, without an
  // index, of any pending task of the job.
  void ProposeClaim(JobState& job,
                    WorkerState& worker,
                    const Resources& grant,
                    const Placed& why,
                    std::optional<uint32_t> index = std::nullopt);
  // Accounts for an attempt that this or another scheduler claimed.
  void AttachAttempt(TaskState& task,
                     WorkerState& worker,
                     Attempt attempt,
                     const Resources& grant);
  // Ends the attempt and returns the task to pending.
  void EndAttempt(TaskState& task);
  // Removes a task that needs no further attempt.
  void FinishTask(TaskState& task);
  // Handles a claim that took effect or failed.
  void ResolveClaim(TaskState& task);
  // Requests another grant, unless a request is still unanswered. A lower grant
  // frees capacity only once it is confirmed.
  void RequestGrant(TaskState& task,
                    const Resources& grant,
                    GrantReason reason);
  // Handles a requested grant that is enforced or was refused.
  void SettleGrant(TaskState& task, bool is_confirmed);
  // Applies an enforced grant that any scheduler requested. A pending request
  // of this scheduler stays pending until it is settled.
  void ApplyGrant(TaskState& task, const Resources& grant);
  // `moves_to` is the worker that holds capacity for the task, if any.
  void Evict(TaskState& task,
             EvictionReason reason,
             const WorkerId& moves_to = WorkerId());
  // Stops all tasks of a job that was cancelled or refused.
  void CloseJob(JobState& job, const Decision& why, EvictionReason reason);
  // Updates the queues after the number of pending tasks changed.
  void Requeue(JobState& job);
  // Records the worker's current loads.
  void RecordLoads(WorkerState& worker);
  // Same as RecordLoads(), and invalidates the expected pressure; for use after
  // a task or its grant changed.
  void RecordChange(WorkerState& worker);

  KindNumber NumberOf(const KindId& kind);
  // All kinds, by number.
  const std::vector<KindId>& kinds() const { return kinds_; }
  // Results of the models, clamped to the valid range.
  Resources GrantFor(const JobState& job) const;
  double ExpectedMillicores(const JobState& job) const;
  Pressure Expect(const RunnerState& runner, const KindLoads& loads) const;
  // Returns the load of the last report. A runner without reports yet is
  // assumed to be at full load if knowledge records cover its service.
  double LoadOf(const RunnerState& runner) const;
  // Same as Expect() with the current loads, cached for a short time.
  Pressure ExpectNow(const WorkerState& worker, RunnerState& runner) const;
  // Returns an estimate of the work that an eviction loses.
  microseconds LostWork(const TaskState& task) const;
  // Returns the processors that the task is expected to use within its grant.
  double BusyMillicores(const TaskState& task) const;
  KindLoads LoadsOf(const WorkerState& worker) const;

  const Settings settings;
  UsageModel& usage;
  InterferenceModel& interference;
  Fleet fleet;
  JobTable jobs;
  TeamShares teams;
  PolicyTable policy;
  SeparationRules separations;
  Counters counters;
  std::unordered_map<KindNumber, FailureRecord> kind_failures;
  std::unordered_set<ServiceId> known_services;
  std::vector<Action> actions;  // Results of the current event.
  Instant now;
  bool is_cut_off = false;

 private:
  void Detach(TaskState& task);

  std::unordered_map<KindId, KindNumber> numbers_;
  std::vector<KindId> kinds_;
};

// Returns whether an attempt of the task may be running.
bool IsLive(const TaskState& task);
TaskId IdOf(const TaskState& task);

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_SCHEDULER_CORE_P_H_
