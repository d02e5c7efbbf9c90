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

// What the parts of one scheduler share, and the steps that all of them take:
// each keeps the ledger, the queues and the teams' use in agreement.
class SchedulerCore {
 public:
  SchedulerCore(const Settings& settings,
                UsageModel& usage,
                InterferenceModel& interference);

  // Proposes the next attempt of a pending task of the job: of that with the
  // index, if one is named.
  void ProposeClaim(JobState& job,
                    WorkerState& worker,
                    const Resources& grant,
                    const Placed& why,
                    std::optional<uint32_t> index = std::nullopt);
  // Counts an attempt that was claimed, by whichever scheduler.
  void AttachAttempt(TaskState& task,
                     WorkerState& worker,
                     Attempt attempt,
                     const Resources& grant);
  // The attempt is no more; the task waits for another.
  void EndAttempt(TaskState& task);
  // The task is done for good.
  void FinishTask(TaskState& task);
  // The claim has taken effect or failed.
  void ResolveClaim(TaskState& task);
  // Asks for another grant, unless an answer is still out. A lower one frees
  // room once it is confirmed.
  void RequestGrant(TaskState& task,
                    const Resources& grant,
                    GrantReason reason);
  // The asked grant is enforced, or will never be.
  void SettleGrant(TaskState& task, bool is_confirmed);
  // This grant is enforced, whoever asked for it. A change that this scheduler
  // asked for stays out until it is settled.
  void ApplyGrant(TaskState& task, const Resources& grant);
  // `moves_to` is where room is kept for it, if anywhere.
  void Evict(TaskState& task,
             EvictionReason reason,
             const WorkerId& moves_to = WorkerId());
  // Stops all of a job that was cancelled or refused.
  void CloseJob(JobState& job, const Decision& why, EvictionReason reason);
  // Keeps the queues true after the number of pending tasks changed.
  void Requeue(JobState& job);
  // Records what the worker carries now.
  void RecordLoads(WorkerState& worker);
  // As NoteLoads(), after a task or its grant has changed.
  void RecordChange(WorkerState& worker);

  KindNumber NumberOf(const KindId& kind);
  // All kinds, by number.
  const std::vector<KindId>& kinds() const { return kinds_; }
  // What the models answer, within what is possible.
  Resources GrantFor(const JobState& job) const;
  double ExpectedMillicores(const JobState& job) const;
  Pressure Expect(const RunnerState& runner, const KindLoads& loads) const;
  // Returns the load that a runner is taken to have: that of its last report,
  // or the highest while none has come of a service that notes tell of.
  double LoadOf(const RunnerState& runner) const;
  // As Expect() with the present loads, at most a little old.
  Pressure ExpectNow(const WorkerState& worker, RunnerState& runner) const;
  // Returns the work that an eviction loses, as far as is known.
  microseconds LostWork(const TaskState& task) const;
  // Returns what the task is expected to keep busy under its grant.
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
  std::vector<Action> actions;  // Of the event being handled.
  Instant now;
  bool is_cut_off = false;

 private:
  void Detach(TaskState& task);

  std::unordered_map<KindId, KindNumber> numbers_;
  std::vector<KindId> kinds_;
};

// Returns whether an attempt of the task may run.
bool IsLive(const TaskState& task);
TaskId IdOf(const TaskState& task);

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_SCHEDULER_CORE_P_H_
