#ifndef PAPAYADRIFT_REPLAY_JOB_TABLE_H_
#define PAPAYADRIFT_REPLAY_JOB_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "base/identifiers.h"
#include "base/refusal.h"
#include "base/resources.h"
#include "base/separation.h"
#include "records/record.h"
#include "replay/verdict.h"
#include "replay/worker_table.h"

namespace papayadrift::replay {

// Returns the fencing token of a claim at a place in the stream.
FencingToken TokenOf(Offset offset, uint32_t index_in_batch);

enum class TaskPhase : uint8_t {
  kWaiting,  // May be claimed.
  kLive,     // Has a live attempt.
  kFinished,
  kDropped,  // Will not run any more: its job was cancelled or refused.
};

// A task that was claimed at least once and may still be claimed again.
struct TaskState {
  Attempt attempt;  // The newest one.
  uint32_t failures = 0;
  bool is_live = false;
  bool is_evicting = false;
  // While waiting: what the next attempt must resume. While live: what the
  // live attempt resumes. Empty stands for the beginning.
  CheckpointId checkpoint;
  // The rest is that of the live attempt.
  WorkerKey worker;
  FencingToken token;
  Resources grant;

  friend bool operator==(const TaskState&, const TaskState&) = default;
};

enum class JobPhase : uint8_t {
  kOpen,
  kFinished,   // Every task has finished.
  kCancelled,  // No further attempts; live ones end by themselves.
  kRefused,    // As above, for the reason in `refusal`.
};

struct TaskCounts {
  uint64_t waiting = 0;
  uint64_t live = 0;
  uint64_t finished = 0;
  uint64_t dropped = 0;
  uint64_t failed_attempts = 0;

  friend bool operator==(const TaskCounts&, const TaskCounts&) = default;
};

struct JobState {
  records::JobSubmitted submitted;
  Offset submitted_at;
  JobPhase phase = JobPhase::kOpen;
  std::optional<RefusalReason> refusal;  // Set for kRefused only.
  // Set once the job is closed and nothing of it is live.
  std::optional<Offset> ended_at;
  TaskCounts counts;
  // One for each task; empty once the job has ended.
  std::vector<TaskPhase> task_phases;
  // Tasks below this index are not waiting.
  uint32_t first_waiting = 0;
  std::map<uint32_t, TaskState> tasks;
  // Of live tasks; kept only if the job is spread. Follows from the rest.
  DomainCounts domains;

  friend bool operator==(const JobState&, const JobState&) = default;
};

// The jobs with their tasks and attempts. A bounded number of ended jobs is
// kept to answer questions about them. Check() answers whether a record would
// be valid, Apply() carries out a valid one.
class JobTable {
 public:
  static constexpr uint32_t kMaximumTasksPerJob = 100'000;
  static constexpr size_t kMaximumEndedJobs = 2'000;

  using Jobs = std::map<JobId, JobState>;

  const Jobs& jobs() const { return jobs_; }
  const JobState* FindJob(const JobId& job) const;
  // Returns nothing for a task that was never claimed or is over.
  const TaskState* FindTask(const TaskId& task) const;
  // Returns the task if that attempt of it is live.
  const TaskState* FindLive(const TaskId& task, Attempt attempt) const;
  std::optional<TaskPhase> PhaseOf(const TaskId& task) const;
  // The attempt number that a claim of the task needs.
  Attempt NextAttempt(const TaskId& task) const;
  // Jobs that have waiting tasks.
  const std::set<JobId>& waiting_jobs() const { return waiting_jobs_; }
  // The first waiting tasks of a job, at most `limit`, by index.
  std::vector<TaskId> WaitingTasks(const JobId& job, size_t limit) const;
  const TaskCounts& totals() const { return totals_; }
  // Whether the separation of the job lets one more task stand there.
  bool HasRoomIn(const JobId& job,
                 const ZoneId& zone,
                 const RackId& rack) const;
  // Whether a task of the job must not share a VM with one of the `others`.
  bool IsApartFromAny(const JobId& job,
                      const std::vector<TaskId>& others) const;
  // Whether any job that has not ended names kinds to be apart from.
  bool HasApartKinds() const { return jobs_with_apart_kinds_ > 0; }

  std::optional<Rejection> Check(const records::JobSubmitted& record) const;
  std::optional<Rejection> Check(const records::JobCancelled& record) const;
  std::optional<Rejection> Check(const records::JobRefused& record) const;
  // Answers only for the task; capacity and quota are checked elsewhere.
  std::optional<Rejection> Check(const records::TaskClaimed& record) const;
  std::optional<Rejection> Check(const records::GrantChanged& record) const;
  std::optional<Rejection> Check(
      const records::EvictionRequested& record) const;
  std::optional<Rejection> Check(const records::TaskEnded& record) const;

  void Apply(Offset offset, const records::JobSubmitted& record);
  void Apply(Offset offset, const records::JobCancelled& record);
  void Apply(Offset offset, const records::JobRefused& record);
  void Apply(FencingToken token, const records::TaskClaimed& record);
  void Apply(const records::GrantChanged& record);
  void Apply(const records::EvictionRequested& record);
  void Apply(Offset offset, const records::TaskEnded& record);
  // Counts a live task of a spread job in its rack, or no longer.
  void EnterDomain(const JobId& job, const ZoneId& zone, const RackId& rack);
  void LeaveDomain(const JobId& job, const ZoneId& zone, const RackId& rack);
  // Ends the live attempt of a task whose worker is gone.
  void LoseAttempt(Offset offset, const TaskId& task);
  // Takes the workers of all live tasks, in their order, after the rest was
  // unpacked. Returns whether the number is right.
  bool SetWorkersOfLiveTasks(const std::vector<WorkerKey>& workers);
  // Rebuilds what follows from the jobs after they were unpacked. Returns
  // whether they are consistent.
  bool Reindex();

  friend bool operator==(const JobTable&, const JobTable&) = default;

 private:
  friend auto Fields(JobTable& table) {
    return std::tie(table.jobs_, table.totals_);
  }

  std::optional<Rejection> CheckLive(const TaskId& task, Attempt attempt) const;
  std::optional<Rejection> CheckClose(const JobId& job) const;
  TaskState& LiveTask(const TaskId& task);
  void Close(Offset offset, JobState& job, JobPhase phase);
  void EndAttempt(Offset offset, const TaskId& task, TaskPhase phase);
  void MoveTask(JobState& job, uint32_t index, TaskPhase phase);
  void EndJobIfDone(Offset offset, JobState& job);
  void ForgetOldestEndedJobs();

  Jobs jobs_;
  std::set<JobId> waiting_jobs_;
  std::set<std::pair<Offset, JobId>> ended_jobs_;
  size_t jobs_with_apart_kinds_ = 0;  // That have not ended.
  TaskCounts totals_;
};

}  // namespace papayadrift::replay

#endif  // PAPAYADRIFT_REPLAY_JOB_TABLE_H_
