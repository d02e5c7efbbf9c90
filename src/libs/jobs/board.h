#ifndef PAPAYADRIFT_JOBS_BOARD_H_
#define PAPAYADRIFT_JOBS_BOARD_H_

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
#include "jobs/duration_book.h"
#include "jobs/fleet.h"
#include "jobs/interference.h"
#include "jobs/job.h"
#include "jobs/learned.h"
#include "jobs/policy_settings.h"
#include "jobs/route_table.h"
#include "jobs/runner.h"

namespace papayadrift::jobs {

struct BoardSettings {
  PolicySettings policy;
  // Longest time that a runner's lease may run on without word of its agent.
  milliseconds lease{6000};
  // Share by which a runner's clock may be slow, in percent.
  int64_t clock_error_percent = 2;
  // Beyond the lease, for calls under way and timers that fire late.
  milliseconds lapse_margin{500};
  // Between two sends of an order that was not answered: some round trips to a
  // busy agent.
  milliseconds resend_period{400};
  // Sends of a start after which the run is withdrawn and placed elsewhere.
  uint32_t most_sends = 4;
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

  friend bool operator==(const BoardSettings&, const BoardSettings&) = default;
};

// A decision or change of belief, for the log.
struct BoardNote {
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
  std::string place;   // The runner, where there is one.
  std::string reason;  // What decided it.
};

// Returns for example "claimed", for logs and metrics.
std::string_view ToText(BoardNote::Kind kind);

using NoteListener = std::function<void(const BoardNote&)>;

// All jobs and runners as the leader sees them, and every decision about them.
// Does no I/O and reads no clock. A change takes effect outside only once it is
// stored: starts are held back until OnStored() covers their claim, and ends
// are acknowledged only then.
class Board {
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
  Board(const BoardSettings& settings, Instant now, NoteListener notes);

  void SetRoutes(RouteTable routes);
  // Adds what is stored. Nothing happens if the job is known.
  void AddJob(const JobId& id, Job job);
  void Restore(const JobId& id, const StoredProgress& stored);
  void Cancel(const JobId& id, Instant now);
  // What was learned of the work by this board, and by an earlier one.
  Learned learned() const;
  void TakeUp(const Learned& learned);

  // Takes in a report; returns false if it is from an earlier life.
  bool OnReport(const RunnerReport& report, Instant now);
  // Leases of the runner may now run until `until`, in time of this process.
  void OnLeaseGranted(const RunnerLife& life, Instant until);
  void OnOrderResult(const RunnerLife& life,
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
  std::vector<JobId> ExpiredJobs(Instant now, size_t most) const;
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
  std::vector<std::pair<RunnerLife, std::vector<Order>>> TakeOrders(
      Instant now);
  uint64_t RecordedEnds(const RunnerLife& life) const;
  const Fleet& fleet() const { return fleet_; }
  size_t open_jobs() const { return open_.size(); }
  size_t waiting_tasks() const { return waiting_tasks_; }

 private:
  struct Entry {
    Job job;
    JobProgress progress;
    std::map<TaskKey, RunnerLife> failed_on;
    Instant ended_at;  // Of a job that is not open.
    // Since when tasks of a step wait for room: by occurrence and step.
    std::map<std::pair<uint32_t, uint32_t>, Instant> waiting_since;
  };
  struct ReadyStep;
  // What had no room on any runner in this pass over the steps that are ready.
  struct HopelessNeed {
    std::string service;
    std::string image;
    std::string required_label;
    bool is_filler = false;
    Resources need;
  };

  Instant LapseOf(Instant lease_end) const;
  uint64_t Change(const TaskKey& task);
  TaskProgress* TaskOf(const TaskKey& task);
  const Step* FindStep(const TaskKey& task) const;
  bool IsStepReady(const Entry& entry,
                   uint32_t occurrence,
                   uint32_t step,
                   int64_t unix_ms) const;
  std::vector<ReadyStep> ReadySteps(int64_t unix_ms);
  // Whether a step that needs no more had no room in this pass.
  bool IsHopeless(const ReadyStep& ready) const;
  void PlaceStep(const ReadyStep& ready, Instant now);
  bool PlaceGang(const ReadyStep& ready, Instant now);
  void Claim(const TaskKey& task,
             uint32_t number,
             const Step& step,
             const Runner& place,
             const ReadyStep& ready,
             Instant now);

  void ReadLists(Runner& runner, const RunnerReport& report, Instant now);
  // Takes in the tail of a serving task.
  void ReadTail(const Runner& runner,
                const TaskKey& task,
                Run& run,
                Instant now) const;
  void ReadEnd(Runner& runner, const EndedRun& ended, Instant now);
  void ReadAbsence(Runner& runner,
                   const TaskKey& task,
                   Run& run,
                   int64_t listed_at_ms,
                   Instant now);
  // Judges the runner and its runs by how fast they get on.
  void JudgeProgress(Runner& runner, Instant now);
  void ReadStrays(Runner& runner, const RunnerReport& report, Instant now);
  void Pace(Runner& runner, Instant now);
  // Stops fillers that hardly get on where they are and would elsewhere.
  void RelocateFillers(Instant now);
  bool WouldGainElsewhere(const Runner& runner,
                          const TaskKey& task,
                          const Run& run,
                          Instant now) const;
  void ObserveDuration(const TaskKey& task, const Run& run, Instant now);
  void CountFailure(Runner& runner, const TaskKey& task, Instant now);
  void EndOfRun(const TaskKey& task,
                RunEnd end,
                const std::string& checkpoint,
                const RunnerLife& life,
                Instant now);
  void Fail(const TaskKey& task, const RunnerLife& life, Instant now);
  // Makes a claimed task wait for another run.
  void Release(const TaskKey& task, const std::string& checkpoint);
  void Withdraw(Runner& runner,
                const TaskKey& task,
                Run& run,
                std::string reason,
                Instant now);
  void WithdrawGang(const TaskKey& task, Instant now);
  void Lose(const RunnerLife& life, const std::string& reason, Instant now);
  void CheckCompletion(const JobId& id, Instant now);
  void CloseJob(const JobId& id, JobOutcome outcome, Instant now);
  std::optional<Order> NextOrder(const Runner& runner,
                                 const TaskKey& task,
                                 Run& run,
                                 Instant now);
  void Note(BoardNote::Kind kind,
            std::string subject,
            uint32_t run = 0,
            std::string place = {},
            std::string reason = {}) const;

  const BoardSettings settings_;
  const Instant begun_at_;
  const NoteListener notes_;
  RouteTable routes_;
  std::map<JobId, Entry> jobs_;
  std::set<JobId> open_;
  Fleet fleet_;
  Interference interference_;
  DurationBook durations_;
  int64_t unix_ms_ = 0;  // As of the last Advance().
  Instant relocated_at_;
  std::map<RunnerLife, std::vector<Order>> pace_orders_;  // Not sent yet.
  uint64_t version_ = 0;
  uint64_t stored_version_ = 0;
  std::set<JobId> changed_outcomes_;
  std::set<TaskKey> changed_tasks_;
  std::vector<HopelessNeed> hopeless_;
  size_t waiting_tasks_ = 0;
};

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_BOARD_H_
