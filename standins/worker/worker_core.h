#ifndef PAPAYADRIFT_STANDINS_WORKER_WORKER_CORE_H_
#define PAPAYADRIFT_STANDINS_WORKER_WORKER_CORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/instant.h"
#include "lease/worker_lease.h"
#include "worker_protocol/messages.h"

namespace papayadrift::standins {

// One run of a task, as it really was; for audits.
struct TaskRun {
  TaskId task;
  Attempt attempt;
  Instant started_at;
  std::optional<Instant> ended_at;
  int64_t from_permille = 0;  // Progress that it resumed from.
  int64_t to_permille = 0;    // Progress that it ended at.
  CheckpointId resumed;       // Checkpoint that it began with; may be empty.
  CheckpointId checkpoint;    // Checkpoint that it wrote; may be empty.
  std::string end;            // "finished", "failed", "checkpointed", ...

  friend bool operator==(const TaskRun&, const TaskRun&) = default;
};

struct WorkerFaults {
  bool fails_tasks = false;  // Every task fails soon after it starts.

  friend bool operator==(const WorkerFaults&, const WorkerFaults&) = default;
};

// A worker that only pretends to compute: a task takes its declared time. Runs
// tasks under a lease by its own clock. No I/O; not safe to share between
// threads.
class WorkerCore {
 public:
  // `run_time_divisor` makes tasks take a part of their declared time.
  WorkerCore(records::WorkerAnnounced announcement, int64_t run_time_divisor);

  worker_protocol::Heartbeat MakeHeartbeat(Instant now);
  void OnAnswer(const worker_protocol::HeartbeatAnswer& answer, Instant now);
  // Makes progress, and stops everything once the lease has lapsed.
  void OnTime(Instant now);

  void SetFaults(WorkerFaults faults) { faults_ = faults; }
  void BeginDrain() { is_draining_ = true; }
  void AddLatency(const worker_protocol::LatencyReport& report);
  // Whether the next heartbeat should not wait: it has news, or the last answer
  // asked for it.
  bool WantsHeartbeat(Instant now) const {
    return has_news_ || (ask_again_at_ && now >= *ask_again_at_);
  }
  bool is_idle() const;
  bool IsLeaseLive(Instant now) const { return lease_->IsLive(now); }
  Incarnation incarnation() const { return announcement_.incarnation; }
  const std::vector<TaskRun>& journal() const { return journal_; }

 private:
  struct Running {
    worker_protocol::AttemptReport report;
    int64_t run_milliseconds = 1;
    Instant started_at;
    size_t journal_index = 0;
  };
  struct Follower;

  void Start(const worker_protocol::StartOrder& order, Instant now);
  void End(Running& running,
           records::TaskEnding ending,
           const std::string& end,
           Instant now);
  void Advance(Running& running, Instant now);
  void StopAll(Instant now);
  // Everything has stopped: goes on as another incarnation.
  void BeReborn();
  Running* Find(const TaskId& task, Attempt attempt);

  records::WorkerAnnounced announcement_;
  const int64_t run_time_divisor_;
  std::optional<lease::WorkerLease> lease_;  // Always set.
  WorkerFaults faults_;
  bool is_draining_ = false;
  bool has_news_ = true;
  std::optional<Instant> ask_again_at_;
  uint64_t sequence_ = 0;
  std::map<std::pair<TaskId, Attempt>, Running> running_;
  std::set<FencingToken> seen_tokens_;
  std::vector<worker_protocol::LatencyReport> latencies_;
  std::vector<TaskRun> journal_;
};

}  // namespace papayadrift::standins

#endif  // PAPAYADRIFT_STANDINS_WORKER_WORKER_CORE_H_
