#ifndef PAPAYADRIFT_PLACEMENT_TASK_STATE_P_H_
#define PAPAYADRIFT_PLACEMENT_TASK_STATE_P_H_

// State of jobs, tasks and workers, shared by the components of the scheduler.

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "base/identifiers.h"
#include "base/instant.h"
#include "base/resources.h"
#include "base/separation.h"
#include "placement/decision.h"
#include "placement/interference_model.h"
#include "placement/kind.h"
#include "placement/load_history_p.h"
#include "placement/worker_health_p.h"

namespace papayadrift::placement {

struct JobState;
struct WorkerState;

enum class TaskPhase {
  kPending,
  kClaiming,  // A claim is in flight.
  kClaimed,   // The claim took effect; the worker may run it already.
  kRunning,
  kStopping,  // Asked to stop; may still be running.
};

// Position of a worker in rack order.
struct RackPosition {
  ZoneId zone;
  RackId rack;
  uint32_t worker = 0;  // Its number.

  friend auto operator<=>(const RackPosition&, const RackPosition&) = default;
};

// A task that was claimed at least once and may need further attempts.
struct TaskState {
  JobState* job = nullptr;
  uint32_t index = 0;
  TaskPhase phase = TaskPhase::kPending;
  Attempt attempt;  // The last attempt, if any.
  CheckpointId checkpoint;
  WorkerState* worker = nullptr;  // Set while an attempt is live.
  Incarnation incarnation;        // Of the worker.
  Resources grant;                // Enforced, or part of a claim in flight.
  Resources wanted;  // The grant last requested; equals `grant` once settled.
  Resources committed;        // Accounted on the worker: the larger of both.
  bool is_in_flight = false;  // Its claim is unresolved.
  Instant claimed_at;
  Instant started_at;
  Instant next_grant_change_at;
  int32_t progress_permille = 0;
  int32_t checkpoint_permille = 0;  // Progress that a resume starts from.
  double used_millicores = 0;       // Last reported; 0 before any report.
  uint32_t failures = 0;            // Attempts that failed.
  bool is_throttled = false;
  bool is_probe = false;
  bool has_full_grant = true;  // Never throttled in this attempt.
  Decision decision;
};

// A job with tasks that have not ended.
struct JobState {
  JobId id;
  uint64_t sequence = 0;  // In order of submission.
  CustomerId customer;
  uint32_t team = 0;  // Number of the team.
  TaskShape shape;
  int32_t priority = 0;
  bool is_urgent = false;
  bool is_checkpointable = false;
  Instant deadline = Instant::max();
  Separation separation;
  std::vector<KindNumber> apart_from;  // The kinds of `separation`.
  DomainCounts domains;  // Of live tasks; maintained only if the job is spread.
  // Position in rack order at which the last search ended.
  std::optional<RackPosition> search_position;
  Instant submitted_at;
  std::vector<bool> was_claimed;  // Tasks that were ever claimed.
  uint32_t next_unclaimed = 0;    // Lowest task never claimed.
  uint32_t unfinished = 0;
  std::set<uint32_t> retry_indexes;  // Tasks that wait for a retry.
  Instant next_try_at;               // Earliest time of the next placement.
  Waiting wait_state;                // Why its pending tasks wait.
  FailureRecord failures;
  uint32_t holds = 0;  // Capacity holds for its pending tasks.
  // Start of the current series of failed placements, if the last one failed,
  // and the number of claims at that time.
  Instant unplaced_since = Instant::max();
  uint64_t claims_when_unplaced = 0;
  bool is_closed = false;  // Cancelled or refused.

  bool has_pending() const {
    return !is_closed &&
           (!retry_indexes.empty() || next_unclaimed < was_claimed.size());
  }
};

struct RunnerState {
  ServiceId service;
  Resources reserved;
  double load = 0;          // Of the highest rate seen, 0 to 1.
  Instant first_report_by;  // End of the wait for its first report.
  Pressure expected;        // With the current neighbours.
  Instant expected_until;   // Recomputed after this time.
  double measured = 0;      // Last measured p99 over target; 0 when none.
  Instant measured_at;
  int reports_above = 0;  // In a row.
  int reports_below = 0;  // In a row.
  Instant next_mitigation_at;
};

enum class WorkerPhase { kUp, kDraining, kLapsed, kFreed };

struct WorkerState {
  WorkerId id;
  Incarnation incarnation;
  ZoneId zone;
  RackId rack;
  WorkerPhase phase = WorkerPhase::kFreed;
  bool is_assigned = true;
  Resources capacity;
  Resources reserved;   // For runners.
  Resources committed;  // Grants and claims in flight.
  Resources held;       // Held for specific jobs.
  std::vector<RunnerState> runners;
  std::vector<TaskState*> tasks;
  int claims_in_flight = 0;
  Instant claim_again_at;  // Earliest time of the next claim.
  LoadHistory history;
  WorkerHealth health;
  uint32_t number = 0;

  Resources Free() const { return capacity - reserved - committed - held; }
  RackPosition rack_position() const { return {zone, rack, number}; }
  // Whether it is sampled as a candidate.
  bool IsCandidate() const {
    return phase == WorkerPhase::kUp && is_assigned && !health.is_quarantined();
  }
  bool IsClaimable(Instant now) const {
    return phase == WorkerPhase::kUp && is_assigned && now >= claim_again_at;
  }
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_TASK_STATE_P_H_
