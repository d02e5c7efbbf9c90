#ifndef PAPAYADRIFT_JOBS_JOB_SCHEDULER_H_
#define PAPAYADRIFT_JOBS_JOB_SCHEDULER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/instant.h"
#include "jobs/backfill.h"
#include "jobs/crash_history.h"
#include "jobs/duration_estimator.h"
#include "jobs/end_settlement.h"
#include "jobs/fleet.h"
#include "jobs/fragmentation.h"
#include "jobs/interference.h"
#include "jobs/job.h"
#include "jobs/job_tally.h"
#include "jobs/learned_model.h"
#include "jobs/policy_settings.h"
#include "jobs/route_table.h"
#include "jobs/runner.h"
#include "jobs/runner_choice.h"
#include "jobs/runner_crash.h"
#include "jobs/zone_evacuations.h"

namespace papayadrift::jobs {

struct JobSchedulerSettings {
  PolicySettings policy;
  // Longest time that a runner's lease lasts without a report from its agent.
  milliseconds lease{6000};
  // Largest rate error of a runner's clock, in percent.
  int64_t clock_error_percent = 2;
  // Added to the lease for calls in progress and timers that fire late.
  milliseconds lease_expiry_margin{500};
  // Time after a takeover in which agents find the new leader and report,
  // however long ago the last one granted leases.
  milliseconds takeover_report_time{1000};
  // Interval between two sends of an unanswered order: several round trips to a
  // busy agent. It follows the latency of answers up to the longest one, so
  // that a leader that handles them late doesn't add to its work.
  milliseconds resend_period{400};
  milliseconds longest_resend_period{1600};
  // Time after which an order to start or pace a run is not passed on to the
  // runner: an order that is held up on the way must not take effect when its
  // run has been given up.
  milliseconds order_validity{2000};
  // Longest age of what the leader knows of the stored jobs when the runner is
  // told to start a run: less than callers allow from the acknowledgement of a
  // cancellation to the last start of its job.
  milliseconds view_limit{2500};
  // The same for the leader's view of the evacuated zones: less than operators
  // allow from the acknowledgement of an evacuation to the last start in its
  // zone. Unset: no zone is ever evacuated, and the view isn't needed.
  std::optional<milliseconds> zones_view_limit;
  // Work that never ends by itself leaves an evacuated zone only after this
  // time: each move interrupts a task for a second or two, and a short
  // evacuation is over before.
  milliseconds short_evacuation{10000};
  // Interval between two moves out of evacuated zones.
  milliseconds evacuation_move_period{100};
  // Part of it that is left for a claim to be stored and its order to arrive.
  milliseconds start_delivery{1000};
  // Number of runs claimed in one round of decisions. What callers and agents
  // send meanwhile waits for its end, also on VMs with a tenth of a core.
  uint32_t max_claims_per_round = 64;
  // Number of sends of a start after which the run is withdrawn and placed
  // elsewhere.
  uint32_t max_sends = 4;
  // A withdrawn run that is not known to be gone after this time is reported:
  // a stop, and the list and the report after it, take 1.3 s at most. One that
  // is claimed and not known to run is counted as overdue after it, too.
  milliseconds stop_overdue_limit{2000};
  // How long a runner gets no new runs after it refused a start although it
  // seemed to have capacity.
  milliseconds refusal_pause{500};
  // The same after the second consecutive failed run; doubles with each further
  // one.
  milliseconds failure_pause{1000};
  // Time for a pace change to show in the gauges; the pace isn't raised before.
  milliseconds pace_settle{600};
  // Longest time for which a runner keeps being granted leases without new
  // lists of its runs.
  milliseconds list_limit{2000};
  // Longest time after which a runner may still execute an order that it did
  // not answer, and the period at which a pace is resent until then. A runner
  // that has not executed a stop by then gets no further lease.
  milliseconds late_order_limit{12000};
  milliseconds pace_repeat{1000};
  // A filler that runs below this pace for this long is stopped if it would run
  // faster elsewhere, where it resumes from its checkpoint.
  uint32_t slow_percent = 30;
  milliseconds slow_limit{600};
  // A slow filler without a checkpoint is moved as well after this time.
  milliseconds very_slow_limit{2000};
  // A filler that has waited this long starts without free capacity, one task
  // of a step at a time: users allow three seconds.
  milliseconds longest_wait{1500};
  // Period at which fillers are considered for relocation.
  milliseconds relocation_period{100};
  // Period at which a serving task is considered for a move to a runner with
  // tasks that are sensitive to the same fillers.
  milliseconds regrouping_period{100};
  // Smallest gain of such a move, in processors for fillers as a share of a
  // runner: a move interrupts one task of a service for about a second.
  double min_regrouping_gain = 0.03;
  // Such a move waits until all tasks of the step have served this long.
  milliseconds min_serving_stay{3000};
  // A run at full pace without progress for less than this is never considered
  // stalled; tasks of a few seconds show progress with each report.
  milliseconds stall_limit{1500};
  // Progress is a whole number of percents, so that a long task shows none for
  // seconds. A run is considered stalled if it shows none in the time in which
  // it is expected to do this many percent of its task: callers' estimates are
  // off by a factor of up to ten.
  int64_t stall_percent = 12;
  // The same for a run that has shown how long a percent takes.
  int64_t measured_stall_percent = 5;
  // The same for a task of which neither an estimate nor a mean is known.
  milliseconds unknown_stall_limit{3000};
  // Each run of a task that stalls doubles the limit for the next one, so often
  // at most: whatever its duration, a task is stopped a few times only.
  uint32_t max_stall_doublings = 8;
  // A runner is suspended if two different tasks stall on it within this time.
  milliseconds stall_memory{10000};
  // How long a runner gets no new runs after a run stalled on it.
  milliseconds stall_pause{4000};
  // The start of a run can have crashed its runner only within this time.
  milliseconds crash_window{200};
  // A task is given up after `likely_crashes` crashes in a row right after its
  // start, if nothing else had just started before `likely_lone_crashes` of
  // them and no runner has crashed without a suspect. In any case it is given
  // up after `max_crashes`: users allow two starts after the third crash.
  uint32_t likely_crashes = 3;
  uint32_t likely_lone_crashes = 2;
  uint32_t max_crashes = 4;
  // Longest time for which a runner is kept free for an isolated start, and
  // largest part of a service's runners that is at the same time.
  milliseconds reservation_limit{2000};
  double max_isolating_part = 0.5;
  // How long ended jobs are kept for status queries.
  milliseconds retention{180000};

  friend bool operator==(const JobSchedulerSettings&,
                         const JobSchedulerSettings&) = default;
};

// A scheduling decision or a change in the known state, for logs and metrics.
struct JobSchedulerEvent {
  enum class Kind {
    kRunClaimed,
    kRunEnded,
    kRunWithdrawn,
    kRunStopped,
    kStopOverdue,
    kRunLost,
    kTaskGivenUp,
    kJobEnded,
    kRunnerJoined,
    kRunnerGone,
    kRunnerCrashed,
    kRunnerDraining,
    kRunnerSuspended,
    kLeaseRefused,
    kRunPaced,
    kTargetMissed,
    kTargetMet,
    kEndAcknowledged,
    kEndUnmatched,
    kEndInvalid,
    kZoneEvacuated,
    kZoneReopened,
    kCapacityReserved,
    kReservationUsed,
    kReservationEnded,
    kTaskHeldBack,
  };
  Kind kind;
  std::string subject;  // The task, job, runner or availability zone.
  uint32_t run = 0;
  std::string runner;  // Empty if no runner is involved.
  std::string reason;  // Why it happened.
};

// What has not been confirmed within its bound.
struct OverdueCounts {
  size_t starts = 0;  // Claimed, not withdrawn, and not known to run.
  size_t stops = 0;   // Withdrawn, and not known to be gone.
  size_t leases = 0;  // Runners that report and have none.

  friend bool operator==(const OverdueCounts&, const OverdueCounts&) = default;
};

// What reservations of capacity have done since the leader began.
struct ReservationCounts {
  uint64_t made = 0;
  uint64_t used = 0;      // A task of the step started on the runner.
  uint64_t given_up = 0;  // Overdue, or the runner is lost or too small.
  uint64_t released = 0;  // The step waits no longer.
  // Waits of steps in which a runner with room was reserved for another step.
  uint64_t held_back = 0;
  uint64_t backfilled = 0;  // Tasks started on runners reserved for others.
  uint64_t forecasts = 0;   // Of runners; what reservations cost.

  friend bool operator==(const ReservationCounts&,
                         const ReservationCounts&) = default;
};

// Returns for example "claimed", for logs and metrics.
std::string_view ToText(JobSchedulerEvent::Kind kind);

using JobSchedulerEventListener = std::function<void(const JobSchedulerEvent&)>;

// The leader's state of all jobs and runners, and all scheduling decisions.
// Does no I/O and reads no clock. A change becomes visible to agents only once
// it is stored: starts are not sent, and ends not acknowledged, until
// OnStored() covers them. That holds also for ends that change nothing: a
// leader that can't store anything may not know of later claims.
class JobScheduler {
 public:
  // Values to be stored, and the version that they bring the store to.
  struct Changes {
    uint64_t version = 0;
    std::vector<std::pair<JobId, StoredOutcome>> outcomes;
    // std::nullopt: the stored value can be deleted.
    std::vector<std::pair<TaskKey, std::optional<TaskProgress>>> tasks;
  };

  // Starts at `now`. Runners with claims of an earlier leader may be running
  // them until the longest lease after `last_granted_at` has expired: no
  // earlier leader has granted one later; unset: not before `now`.
  JobScheduler(const JobSchedulerSettings& settings,
               Instant now,
               JobSchedulerEventListener event_listener,
               std::optional<Instant> last_granted_at = std::nullopt);

  void SetRoutes(RouteTable routes);
  // Takes all availability zones that operators have evacuated.
  void SetEvacuatedZones(const std::set<std::string>& zones, Instant now);
  // Adds a stored job; does nothing if it is already known.
  void AddJob(const JobId& id, Job job);
  void Restore(const JobId& id, const StoredProgress& stored);
  void Cancel(const JobId& id, Instant now);
  // Task durations and interference learned by this scheduler and by earlier
  // leaders.
  LearnedModel learned() const;
  void ImportLearned(const LearnedModel& learned);

  // Processes a report; returns false if it is from a superseded incarnation,
  // or from one that has ended since.
  bool OnReport(const RunnerReport& report, Instant now);
  // Returns whether the runner may get a lease. What can't be confirmed of its
  // runs ends with the one that it has. One that was removed after its report
  // gets none: nobody would know of it.
  bool MayLease(const RunnerIncarnation& incarnation, Instant now) const;
  // Leases of the runner may last until `until` on this process's clock.
  void OnLeaseGranted(const RunnerIncarnation& incarnation, Instant until);
  void OnOrderResult(const RunnerIncarnation& incarnation,
                     const Order& order,
                     const OrderResult& result,
                     Instant now);
  // Orders have been answered `latency` after they were sent.
  void OnOrderLatency(microseconds latency);
  // All jobs and cancellations that were stored by `viewed_at` are known.
  void OnJobsViewed(Instant viewed_at);
  // All evacuations that were stored by `viewed_at` are known.
  void OnZonesViewed(Instant viewed_at);
  // Everything up to `version` is stored.
  void OnStored(uint64_t version);

  // Expires leases and claims capacity for ready tasks, a limited number of
  // them at once.
  void Advance(Instant now, int64_t unix_ms);
  // Returns whether the last Advance() left tasks that may have a place.
  bool has_more_to_place() const { return has_more_to_place_; }

  // Returns when a job ended, or std::nullopt if it is open or unknown.
  std::optional<Instant> EndedAt(const JobId& id) const;
  // Returns at most `max_count` jobs that ended longer than the retention time
  // ago.
  std::vector<JobId> ExpiredJobs(Instant now, size_t max_count) const;
  // Removes an ended job; its stored records must be deleted first.
  void Forget(const JobId& id) { jobs_.erase(id); }

  Changes TakeChanges();
  // Whether the store should be written to, be it only to confirm that this is
  // still the leader.
  bool has_changes() const { return version_ > taken_version_; }
  // The version that includes all changes made so far.
  uint64_t version() const { return version_; }
  uint64_t stored_version() const { return stored_version_; }

  // Returns the orders that are due, by runner, and counts them as sent.
  std::vector<std::pair<RunnerIncarnation, std::vector<Order>>> TakeOrders(
      Instant now);
  // Returns the time on the clock of the runner's agent until which orders that
  // are sent now are valid.
  int64_t OrderDeadlineMs(const RunnerIncarnation& incarnation,
                          Instant now) const;
  // Returns the time on the clock of the runner's agent, or an earlier one, up
  // to which the stored jobs and evacuations are known: starts that are sent
  // now hold for `view_limit` from then on.
  int64_t ViewedAtMs(const RunnerIncarnation& incarnation) const;
  uint64_t RecordedEnds(const RunnerIncarnation& incarnation) const;
  // As of the last TakeOrders().
  const OverdueCounts& overdue() const { return overdue_; }
  const Fleet& fleet() const { return fleet_; }
  const ReservationCounts& reservation_counts() const {
    return reservation_counts_;
  }
  size_t open_jobs() const { return open_.size(); }
  size_t waiting_tasks() const { return waiting_tasks_; }
  size_t evacuated_zones() const { return evacuations_.size(); }
  size_t CountRunsInEvacuatedZones() const;
  // Tasks looked at so far to find the steps that are ready: what rounds cost
  // beside placement.
  uint64_t tallied_tasks() const { return tallied_tasks_; }
  // Runs looked at so far to find the orders that are due.
  uint64_t checked_runs() const { return checked_runs_; }

 private:
  // Tasks of a step that wait for capacity.
  struct WaitingStep {
    Instant since;
    // The last attempt that found no runner, and the last one with the rules
    // for work that has waited long.
    std::optional<PlacementAttempt> failed;
    std::optional<PlacementAttempt> failed_after_wait;
    uint32_t reservations = 0;
    Instant reservable_at;      // No runner is reserved for it before.
    bool is_held_back = false;  // By the reservation of another step.
  };
  // Runs of a task, or of a gang, that were stopped as stalled.
  struct Stalls {
    uint32_t run = 0;  // The last one.
    uint32_t count = 0;
  };
  struct Entry {
    Job job;
    JobProgress progress;
    std::map<TaskKey, RunnerIncarnation> failed_on;
    std::map<TaskKey, Stalls> stalls;  // As by CrashRecordOf().
    Instant ended_at;                  // Unset while the job is open.
    // Whether it is stored that a task has started.
    bool is_start_stored = false;
    // Of the scheduler when the job ended; 0 if an earlier leader stored that.
    uint64_t ended_version = 0;
    // By occurrence and step.
    std::map<std::pair<uint32_t, uint32_t>, WaitingStep> waiting;
    // How long the tasks of each step take.
    std::vector<std::shared_ptr<const DurationEstimator::Mean>> means;
    // Of the progress; unset since it has changed.
    std::optional<JobTally> tally;
  };
  // The first known start of a job, of which nothing stored tells yet.
  struct UnstoredStart {
    TaskKey task;
    Instant due;  // When it is stored by itself.
  };
  // The report that told of a runner's end.
  struct EndReport {
    int64_t agent_start_unix_ms = 0;
    int64_t sent_at_ms = 0;
    Instant received_at;
  };
  struct ReadyStep;
  // A request that fitted on no runner in this pass over the ready steps.
  struct UnplaceableNeed {
    std::string service;
    std::string image;
    std::string required_label;
    bool is_filler = false;
    Resources need;
    // Of a request that a reservation held back: it holds for others too.
    std::optional<BackfillClaim> held_back;
  };
  // What may be reserved of a service's runners.
  struct ReservableFleet {
    size_t reservations_left = 0;
    Resources mean_capacity;
  };

  // Whether the runner has ended since the report was sent.
  bool IsOvertakenByEnd(const RunnerReport& report) const;
  // Lets the runner know the processes of the agent that reported the other
  // incarnations of its node: what they say is late.
  void InheritFormerAgents(Runner& runner, const RunnerReport& report) const;
  Instant LeaseExpiry(Instant lease_end) const;
  // Until then, runners may run what the last leader claimed for them.
  Instant ExpiryOfEarlierLeases() const;
  milliseconds ResendPeriod() const;
  // See ViewedAtMs(), on this process's clock.
  Instant ViewedAt() const;
  // Whether cancellations and evacuations are known as they were so recently
  // that a start may be sent, or a run be claimed.
  bool MaySendStarts(Instant now) const;
  bool MayClaim(Instant now) const;
  uint64_t Change(const TaskKey& task);
  TaskProgress* TaskOf(const TaskKey& task);
  const Step* FindStep(const TaskKey& task) const;
  const Queue* FindQueue(const std::string& name) const;
  const JobTally& TallyOfEntry(Entry& entry);
  std::vector<ReadyStep> ReadySteps(int64_t unix_ms);
  void AddReadySteps(const JobId& id,
                     Entry& entry,
                     const Queue& queue,
                     int64_t unix_ms,
                     std::vector<ReadyStep>& ready) const;
  // Returns whether a step with the same or smaller needs did not fit in this
  // pass.
  bool IsKnownUnplaceable(const ReadyStep& ready,
                          const WaitingStep& waiting,
                          const BackfillClaim& claim) const;
  void PlaceStep(const ReadyStep& ready, Instant now);
  bool PlaceGang(const ReadyStep& ready, Instant now);
  // Returns a runner for each task of the gang for its run `number`; empty if
  // it does not fit.
  std::vector<RunnerIncarnation> ChooseGangRunners(PlacementRequest request,
                                                   uint32_t number,
                                                   Instant now) const;
  // Chooses a runner for a start alone, or else reserves one for it.
  const Runner* ChooseIsolated(PlacementRequest request, Instant now);
  void Reserve(Runner& runner, const PlacementRequest& request, Instant now);
  bool HasReservation(const PlacementRequest& request, Instant now) const;
  // Returns whether so many runners of the service may be isolating already
  // that no further one is reserved.
  bool IsIsolationExhausted(const std::string& service, Instant now) const;
  // Lets the job of each queue that runs out of slack go first.
  void GiveTurns(std::vector<ReadyStep>& ready, int64_t unix_ms) const;
  // Returns whether the step, whose outcome has no value any more, waits for
  // others.
  bool YieldsToEarningWork(const ReadyStep& ready, Instant now);
  // Notes the sizes of large tasks that are ready.
  void NoteLargeSizes(const std::vector<ReadyStep>& ready, Instant now);
  // Returns by which the step's tasks may use reserved runners.
  BackfillClaim ClaimOf(const ReadyStep& ready,
                        const WaitingStep& waiting,
                        Instant now) const;
  // Notes that the task found no runner but `runner`, which is reserved.
  void OnHeldBack(const TaskKey& task,
                  const Runner& runner,
                  WaitingStep& waiting);
  // Gives up reservations that are overdue or can't be used, and updates what
  // others leave.
  void ReviewReservations(Instant now);
  void ReviewReservation(Runner& runner, Instant now);
  // Reserves runners for large tasks that found none in this round.
  void MakeReservations(const std::vector<ReadyStep>& ready, Instant now);
  ReservableFleet ReservableFleetOf(const std::string& service,
                                    Instant now) const;
  // Reserves up to `max_count` runners for tasks of the step.
  size_t ReserveCapacity(const ReadyStep& ready,
                         size_t max_count,
                         WaitingStep& waiting,
                         Instant now);
  // Removes the runner's reservation and counts it in `count`.
  void EndReservation(Runner& runner,
                      uint64_t ReservationCounts::* count,
                      std::string reason);
  void GiveUpReservation(Runner& runner, std::string reason, Instant now);
  // Updates the runner's reservation when a run of the task is claimed there.
  void OnClaimBesideReservation(Runner& runner,
                                const TaskKey& task,
                                const ReadyStep& ready,
                                const BackfillClaim& claim,
                                Instant now);
  void Claim(const TaskKey& task,
             uint32_t number,
             const Step& step,
             const Runner& chosen,
             const ReadyStep& ready,
             const BackfillClaim& claim,
             Instant now);

  // Takes in the times of a report: whether its lists are new, and what it
  // means for those of earlier ones if the agent has started anew.
  void ProcessTimes(Runner& runner, const RunnerReport& report, Instant now);
  // Expects starts that may have been sent to take effect as late as those that
  // are sent now.
  void RedateStarts(Runner& runner, int64_t agent_ms) const;
  // Returns when a start that the agent may pass on until `valid_until_ms` is
  // void, on the agent's clock.
  int64_t VoidAtMs(int64_t valid_until_ms) const;
  std::optional<LeaseRefusal> RefusalOf(const Runner& runner,
                                        Instant now) const;
  // Returns why the runs of the runner are lost, or std::nullopt if they may be
  // running.
  std::optional<std::string> LossOf(const Runner& runner, Instant now) const;
  void ProcessLists(Runner& runner, const RunnerReport& report, Instant now);
  // Withdraws starts that are not confirmed while the runner's capacity, which
  // may have shrunk, does not allow them.
  void WithdrawStartsBeyondCapacity(Runner& runner, Instant now);
  // Updates the tail latency of a serving task.
  void ProcessTail(const Runner& runner,
                   const TaskKey& task,
                   Run& run,
                   Instant now) const;
  void ProcessEndedRun(Runner& runner, const EndedRun& ended, Instant now);
  EndSettlement SettlementOf(const Runner& runner, const EndedRun& ended);
  void ProcessEndOfClaimedRun(Runner& runner,
                              const EndedRun& ended,
                              Instant now);
  // Processes the end of a run that this leader doesn't hold for the runner.
  // What completed an open task counts, so that it is not started again.
  void ProcessUnmatchedEnd(const Runner& runner,
                           const EndedRun& ended,
                           EndSettlement settlement,
                           Instant now);
  void ProcessMissingRun(Runner& runner,
                         const TaskKey& task,
                         Run& run,
                         int64_t listed_at_ms,
                         Instant now);
  // Detects stalled runs and updates how slow the runner is.
  void CheckProgress(Runner& runner, Instant now);
  // Returns how long the task is expected to take; 0: nothing is known of it.
  static int64_t ExpectedMs(const Entry& entry, const TaskKey& task);
  // Returns after which time without progress the run is considered stalled.
  milliseconds StallLimit(const Entry& entry,
                          const TaskKey& task,
                          const Run& run) const;
  // Withdraws a stalled run, and suspends the runner if there is other evidence
  // against it; `is_advancing` tells whether other runs on it progress.
  void StopStalledRun(Runner& runner,
                      const TaskKey& task,
                      bool is_advancing,
                      Instant now);
  void ProcessOrphans(Runner& runner, const RunnerReport& report, Instant now);
  void UpdatePaces(Runner& runner, Instant now);
  // Stops a run that never ends by itself in a zone that has been evacuated for
  // long, if it has a place elsewhere: one task of a step at a time.
  void MoveFromEvacuatedZones(Instant now);
  bool HasRunnerElsewhere(const Runner& runner,
                          const TaskKey& task,
                          Instant now) const;
  // Stops a slow filler that would run faster on another runner.
  void RelocateFillers(Instant now);
  bool WouldRunFasterElsewhere(const Runner& runner,
                               const TaskKey& task,
                               const Run& run,
                               Instant now) const;
  // Moves serving tasks so that tasks that are sensitive to the same fillers
  // share runners: one task of a step at a time.
  void RegroupServing(Instant now);
  // Returns the processors that fillers would gain by a move of the task, as a
  // share of a runner; std::nullopt if it can't move.
  std::optional<double> RegroupingGain(const Runner& runner,
                                       const TaskKey& task,
                                       const Run& run,
                                       Instant now) const;
  // Returns whether no task of the step is away or has been so recently.
  bool IsWholeStepServing(const TaskKey& task, Instant now) const;
  void ObserveDuration(const TaskKey& task, const Run& run, Instant now);
  void CountFailure(Runner& runner, const TaskKey& task, Instant now);
  void HandleRunEnd(const TaskKey& task,
                    RunEnd end,
                    const std::string& checkpoint,
                    const RunnerIncarnation& incarnation,
                    Instant now);
  // Takes a task of an open job, or the whole gang, for done.
  void CompleteTask(const TaskKey& task, Instant now);
  void RecordFailure(const TaskKey& task,
                     const RunnerIncarnation& incarnation,
                     Instant now);
  // Removes a run that is not active on the runner and won't be, and releases
  // its task.
  void ReleaseRun(Runner& runner, const TaskKey& task);
  // Returns a claimed task to the waiting tasks.
  void Release(const TaskKey& task, const std::string& checkpoint);
  void Withdraw(Runner& runner,
                const TaskKey& task,
                Run& run,
                std::string reason,
                Instant now);
  // Withdraws whatever run of the task is claimed.
  void WithdrawRunOf(const TaskKey& task,
                     const std::string& reason,
                     Instant now);
  void WithdrawGang(const TaskKey& task, Instant now);
  // Withdraws restored members of gangs of which the last leader had released
  // others, or had stored the claims only in part, and completes gangs of which
  // it had stored the end only in part.
  void SettlePartialGangs(const JobId& id, Entry& entry);
  // Reports that a withdrawn run is no longer active.
  void EmitStopped(const Runner& runner,
                   const TaskKey& task,
                   const Run& run,
                   Instant now) const;
  // Removes the processes before the reported one; `successor` is that, unless
  // it has ended too.
  void RemoveEarlierIncarnations(const RunnerReport& report,
                                 Runner* successor,
                                 Instant now);
  // Gives up the runs of the runner. A `successor` is a process under the same
  // name: a run whose start it may get stays claimed until it has stopped it.
  void RemoveRunner(const RunnerIncarnation& incarnation,
                    const std::string& reason,
                    const std::optional<RunnerCrash>& crash,
                    Instant now,
                    Runner* successor = nullptr);
  void Inherit(Runner& successor, const TaskKey& task, Run run, Instant now);
  // Hands the runs that were given up under the name of `incarnation` over to
  // its runner, and forgets those of earlier runners of the node.
  void TakeOverReleasedRuns(const RunnerIncarnation& incarnation,
                            Runner& runner);
  // Records the crash with the tasks that may have caused it, and gives up
  // those that have.
  void RecordCrash(const RunnerIncarnation& incarnation,
                   const RunTable& runs,
                   const RunnerCrash& crash,
                   Instant now);
  // Returns the progress with which crashes under the task are recorded.
  TaskProgress* CrashRecord(const TaskKey& task);
  bool HasGangSurvivedStart(const TaskKey& task) const;
  // Forgets crashes under a task that did not crash the runner this time.
  void ClearCrashes(const TaskKey& task);
  // Returns the tally of an occurrence that is kept.
  const OccurrenceTally& OccurrenceTallyOf(Entry& entry, uint32_t occurrence);
  void CheckCompletion(const JobId& id, Instant now);
  // Drops the first occurrences of a job that are done if it has more to begin.
  void DropDoneOccurrences(const JobId& id, Entry& entry);
  void CloseJob(const JobId& id, JobOutcome outcome, Instant now);
  // Notes that a run of the task has been started.
  void OnStarted(const TaskKey& task, Instant now);
  // Standbys learn from the stored progress which jobs have begun. Most changes
  // of a task come soon after its start and tell of it; a job whose tasks take
  // longer gets one record more, as each record is priced.
  void StoreOverdueStarts(Instant now);
  // Process the result of an order to the runner.
  void ProcessResult(Runner& runner,
                     const StartOrder& start,
                     const OrderResult& result,
                     Instant now);
  void ProcessResult(Runner& runner,
                     const StopOrder& stop,
                     const OrderResult& result,
                     Instant now);
  void ProcessResult(Runner& runner,
                     const PaceOrder& pace,
                     const OrderResult& result,
                     Instant now);
  // Adds a run that is withdrawn or not accepted to the counts if it is
  // overdue.
  void CountOverdue(const Run& run, Instant now);
  // Withdraws a run that its runner has not started by now, or won't.
  void WithdrawFailedStart(const Runner& runner,
                           const TaskKey& task,
                           Run& run,
                           Instant now) const;
  std::optional<Order> NextOrder(Runner& runner,
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
  const Instant last_granted_at_;  // By an earlier leader, at the latest.
  Instant jobs_viewed_at_;
  ZoneEvacuations evacuations_;
  Instant zones_viewed_at_;
  Instant evacuated_at_;  // When a move out of a zone was last considered.
  microseconds order_latency_{0};  // Smoothed.
  const JobSchedulerEventListener event_listener_;
  RouteTable routes_;  // Its queues are sorted by name.
  std::map<JobId, Entry> jobs_;
  std::map<JobId, Entry*> open_;
  Fleet fleet_;
  // See Runner::released; of runners that are not known now, by node and
  // instance.
  std::map<std::pair<std::string, std::string>, std::map<TaskKey, OrphanRun>>
      released_;
  // Of runners that have ended a little while ago.
  std::map<RunnerIncarnation, EndReport> end_reports_;
  std::map<JobId, UnstoredStart> unstored_starts_;  // Of open jobs.
  Interference interference_;
  DurationEstimator durations_;
  CrashHistory crashes_;
  int64_t unix_ms_ = 0;  // Of the last Advance().
  Instant relocated_at_;
  Instant regrouped_at_;
  RunnerIncarnation regrouped_runner_;  // The last one that was considered.
  uint64_t version_ = 0;
  uint64_t taken_version_ = 0;  // By the last TakeChanges().
  uint64_t stored_version_ = 0;
  std::set<JobId> changed_outcomes_;
  std::set<TaskKey> changed_tasks_;
  std::vector<UnplaceableNeed> unplaceable_;
  size_t waiting_tasks_ = 0;  // As of the last round that placed everything.
  size_t waiting_in_round_ = 0;
  uint64_t tallied_tasks_ = 0;
  uint64_t checked_runs_ = 0;
  OverdueCounts overdue_;
  // Of steps that lately waited or were placed, by service.
  std::map<std::string, LargeSizes> large_sizes_;
  ReservationCounts reservation_counts_;
  Instant reserved_at_;  // Of the last pass that made reservations.
  Instant reviewed_at_;  // Of the last pass that reviewed them.
  uint32_t claims_of_round_ = 0;
  // Services for which work that can still earn waits, as of this round.
  std::set<std::string> services_with_waiting_work_;
  bool has_more_to_place_ = false;
};

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_JOB_SCHEDULER_H_
