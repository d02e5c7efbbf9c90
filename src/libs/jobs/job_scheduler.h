#ifndef PAPAYADRIFT_JOBS_JOB_SCHEDULER_H_
#define PAPAYADRIFT_JOBS_JOB_SCHEDULER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/instant.h"
#include "jobs/duration_estimator.h"
#include "jobs/fleet.h"
#include "jobs/interference.h"
#include "jobs/job.h"
#include "jobs/learned_model.h"
#include "jobs/policy_settings.h"
#include "jobs/route_table.h"
#include "jobs/runner.h"

namespace papayadrift::jobs {

struct JobSchedulerSettings {
  PolicySettings policy;
  // Longest time that a runner's lease may run on without word of its agent.
  milliseconds lease{6000};
  // Share by which a runner's clock may be slow, in percent.
  int64_t clock_error_percent = 2;
  // Beyond the lease, for calls under way and timers that fire late.
  milliseconds lease_expiry_margin{500};
  // Between two sends of an order that was not answered: some round trips to a
  // busy agent.
  milliseconds resend_period{400};
  // Sends of a start after which the run is withdrawn and placed elsewhere.
  uint32_t max_sends = 4;
  // Pause of a runner that refused a start though it seemed to have room.
  milliseconds refusal_pause{500};
  // Pause after the second failed run in a row; doubled with each further one.
  milliseconds failure_pause{1000};
  // A pace rises again only once the last change shows in the gauges.
  milliseconds pace_settle{600};
  // Longest time after which a runner still carries out an order that it did
  // not answer, and the period at which a pace is given again meanwhile.
  milliseconds late_order_limit{12000};
  milliseconds pace_repeat{1000};
  // A filler below this pace for so long is stopped if it would get on better
  // elsewhere; what it has saved goes with it.
  uint32_t slow_percent = 30;
  milliseconds slow_limit{600};
  // One whose work is not saved moves too once it has been slow for so long.
  milliseconds very_slow_limit{2000};
  // A filler starts without room after this time, one for each step: users
  // allow three seconds.
  milliseconds longest_wait{1500};
  // Period at which that is looked at.
  milliseconds relocation_period{100};
  // A run at full pace that shows no progress for so long stands still: tasks
  // of a few seconds show some with each report.
  milliseconds stall_limit{1500};
  // Pause of a runner on which a run stands still.
  milliseconds stall_pause{4000};
  // Ended jobs are kept this long for callers that ask.
  milliseconds retention{180000};

  friend bool operator==(const JobSchedulerSettings&,
                         const JobSchedulerSettings&) = default;
};

// A decision or change of belief, for the log.
struct JobSchedulerEvent {
  enum class Kind {
    kRunClaimed,
    kRunEnded,
    kRunWithdrawn,
    kRunLost,
    kJobEnded,
    kRunnerJoined,
    kRunnerGone,
    kRunnerDraining,
    kRunnerSuspended,
    kRunPaced,
    kTargetMissed,
    kTargetMet,
  };
  Kind kind;
  std::string subject;  // The task, job or runner.
  uint32_t run = 0;
  std::string runner;  // The runner, where there is one.
  std::string reason;  // What decided it.
};

// Returns for example "claimed", for logs and metrics.
std::string_view ToText(JobSchedulerEvent::Kind kind);

using JobSchedulerEventListener = std::function<void(const JobSchedulerEvent&)>;

// All jobs and runners as the leader sees them, and every decision about them.
// Does no I/O and reads no clock. A change takes effect outside only once it is
// stored: starts are held back until OnStored() covers their claim, and ends
// are acknowledged only then.
class JobScheduler {
 public:
  // Values to be stored, and the version that they bring the store to.
  struct Changes {
    uint64_t version = 0;
    std::vector<std::pair<JobId, JobOutcome>> outcomes;
    // Nothing: the task need not be stored any more.
    std::vector<std::pair<TaskKey, std::optional<TaskProgress>>> tasks;
  };

  // Begins at `now`: runners that were claimed for before may be at work until
  // the longest lease after it has passed.
  JobScheduler(const JobSchedulerSettings& settings,
               Instant now,
               JobSchedulerEventListener event_listener);

  void SetRoutes(RouteTable routes);
  // Adds what is stored. Nothing happens if the job is known.
  void AddJob(const JobId& id, Job job);
  void Restore(const JobId& id, const StoredProgress& stored);
  void Cancel(const JobId& id, Instant now);
  // What was learned of the work by this board, and by an earlier one.
  LearnedModel learned() const;
  void ImportLearned(const LearnedModel& learned);

  // Takes in a report; returns false if it is from an earlier life.
  bool OnReport(const RunnerReport& report, Instant now);
  // Leases of the runner may now run until `until`, in time of this process.
  void OnLeaseGranted(const RunnerIncarnation& incarnation, Instant until);
  void OnOrderResult(const RunnerIncarnation& incarnation,
                     const Order& order,
                     const OrderResult& result,
                     Instant now);
  // Everything up to `version` is stored.
  void OnStored(uint64_t version);

  // Lets leases lapse and claims room for work that is ready.
  void Advance(Instant now, int64_t unix_ms);

  // Returns when a job ended; nothing if it is open or not known.
  std::optional<Instant> EndedAt(const JobId& id) const;
  // Jobs that ended longer ago than they have to be kept, at most so many.
  std::vector<JobId> ExpiredJobs(Instant now, size_t max_count) const;
  // Drops a job that has ended; what is stored of it must be dropped before.
  void Forget(const JobId& id) { jobs_.erase(id); }

  Changes TakeChanges();
  bool has_changes() const {
    return !changed_outcomes_.empty() || !changed_tasks_.empty();
  }
  // Version that covers every change made so far.
  uint64_t version() const { return version_; }
  uint64_t stored_version() const { return stored_version_; }

  // Orders that are due, by runner; they count as sent.
  std::vector<std::pair<RunnerIncarnation, std::vector<Order>>> TakeOrders(
      Instant now);
  uint64_t RecordedEnds(const RunnerIncarnation& incarnation) const;
  const Fleet& fleet() const { return fleet_; }
  size_t open_jobs() const { return open_.size(); }
  size_t waiting_tasks() const { return waiting_tasks_; }

 private:
  struct Entry {
    Job job;
    JobProgress progress;
    std::map<TaskKey, RunnerIncarnation> failed_on;
    Instant ended_at;  // Of a job that is not open.
    // Since when tasks of a step wait for room: by occurrence and step.
    std::map<std::pair<uint32_t, uint32_t>, Instant> waiting_since;
  };
  struct ReadyStep;
  // What had no room on any runner in this pass over the steps that are ready.
  struct UnplaceableNeed {
    std::string service;
    std::string image;
    std::string required_label;
    bool is_filler = false;
    Resources need;
  };

  Instant LeaseExpiry(Instant lease_end) const;
  uint64_t Change(const TaskKey& task);
  TaskProgress* TaskOf(const TaskKey& task);
  const Step* FindStep(const TaskKey& task) const;
  bool IsStepReady(const Entry& entry,
                   uint32_t occurrence,
                   uint32_t step,
                   int64_t unix_ms) const;
  std::vector<ReadyStep> ReadySteps(int64_t unix_ms);
  // Whether a step that needs no more had no room in this pass.
  bool IsKnownUnplaceable(const ReadyStep& ready) const;
  void PlaceStep(const ReadyStep& ready, Instant now);
  bool PlaceGang(const ReadyStep& ready, Instant now);
  void Claim(const TaskKey& task,
             uint32_t number,
             const Step& step,
             const Runner& chosen,
             const ReadyStep& ready,
             Instant now);

  void ProcessLists(Runner& runner, const RunnerReport& report, Instant now);
  // Takes in the tail of a serving task.
  void ProcessTail(const Runner& runner,
                   const TaskKey& task,
                   Run& run,
                   Instant now) const;
  void ProcessEndedRun(Runner& runner, const EndedRun& ended, Instant now);
  void ProcessMissingRun(Runner& runner,
                         const TaskKey& task,
                         Run& run,
                         int64_t listed_at_ms,
                         Instant now);
  // Judges the runner and its runs by how fast they get on.
  void CheckProgress(Runner& runner, Instant now);
  void ProcessOrphans(Runner& runner, const RunnerReport& report, Instant now);
  void UpdatePaces(Runner& runner, Instant now);
  // Stops fillers that hardly get on where they are and would elsewhere.
  void RelocateFillers(Instant now);
  bool WouldRunFasterElsewhere(const Runner& runner,
                               const TaskKey& task,
                               const Run& run,
                               Instant now) const;
  void ObserveDuration(const TaskKey& task, const Run& run, Instant now);
  void CountFailure(Runner& runner, const TaskKey& task, Instant now);
  void HandleRunEnd(const TaskKey& task,
                    RunEnd end,
                    const std::string& checkpoint,
                    const RunnerIncarnation& incarnation,
                    Instant now);
  void RecordFailure(const TaskKey& task,
                     const RunnerIncarnation& incarnation,
                     Instant now);
  // Makes a claimed task wait for another run.
  void Release(const TaskKey& task, const std::string& checkpoint);
  void Withdraw(Runner& runner,
                const TaskKey& task,
                Run& run,
                std::string reason,
                Instant now);
  void WithdrawGang(const TaskKey& task, Instant now);
  void RemoveRunner(const RunnerIncarnation& incarnation,
                    const std::string& reason,
                    Instant now);
  void CheckCompletion(const JobId& id, Instant now);
  void CloseJob(const JobId& id, JobOutcome outcome, Instant now);
  std::optional<Order> NextOrder(const Runner& runner,
                                 const TaskKey& task,
                                 Run& run,
                                 Instant now);
  void Emit(JobSchedulerEvent::Kind kind,
            std::string subject,
            uint32_t run = 0,
            std::string runner = {},
            std::string reason = {}) const;

  const JobSchedulerSettings settings_;
  const Instant created_at_;
  const JobSchedulerEventListener event_listener_;
  RouteTable routes_;
  std::map<JobId, Entry> jobs_;
  std::set<JobId> open_;
  Fleet fleet_;
  Interference interference_;
  DurationEstimator durations_;
  int64_t unix_ms_ = 0;  // As of the last Advance().
  Instant relocated_at_;
  std::map<RunnerIncarnation, std::vector<Order>>
      pace_orders_;  // Not sent yet.
  uint64_t version_ = 0;
  uint64_t stored_version_ = 0;
  std::set<JobId> changed_outcomes_;
  std::set<TaskKey> changed_tasks_;
  std::vector<UnplaceableNeed> unplaceable_;
  size_t waiting_tasks_ = 0;
};

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_JOB_SCHEDULER_H_
