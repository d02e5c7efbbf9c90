#ifndef PAPAYADRIFT_PLACEMENT_EVENT_H_
#define PAPAYADRIFT_PLACEMENT_EVENT_H_

// Events that the driver passes to a Scheduler. Duplicate and outdated events
// and events about unknown attempts have no effect.

#include <cstdint>
#include <variant>
#include <vector>

#include "base/identifiers.h"
#include "base/instant.h"
#include "base/refusal.h"
#include "base/resources.h"
#include "base/separation.h"
#include "placement/policy.h"
#include "records/record.h"

namespace papayadrift::placement {

// Delivered in the order in which they take effect in the log. TaskEnded also
// confirms an eviction; WorkerFreed also covers earlier incarnations.
using records::JobCancelled;
using records::JobRefused;
using records::KnowledgeNoted;
using records::TaskEnded;
using records::WorkerDraining;
using records::WorkerFreed;
using records::WorkerLapsed;
using records::WorkerQuarantined;

// A new policy is in force. It replaces the previous one completely.
struct PolicyChanged {
  Policy policy;

  friend bool operator==(const PolicyChanged&, const PolicyChanged&) = default;
};

// A backend server on a worker, with the resources reserved for it.
struct RunnerReservation {
  ServiceId service;
  Resources reserved;

  friend bool operator==(const RunnerReservation&,
                         const RunnerReservation&) = default;
};

// A worker was announced, or announced again with other runners.
struct WorkerUp {
  WorkerId worker;
  Incarnation incarnation;
  ZoneId zone;
  RackId rack;
  Resources capacity;
  std::vector<RunnerReservation> runners;

  friend bool operator==(const WorkerUp&, const WorkerUp&) = default;
};

// Sets whether this scheduler may claim on the worker. Announced workers are
// assigned by default.
struct WorkerAssigned {
  WorkerId worker;
  bool is_assigned = true;

  friend bool operator==(const WorkerAssigned&,
                         const WorkerAssigned&) = default;
};

struct JobSubmitted {
  JobId job;
  CustomerId customer;
  TeamId team;
  KindId kind;
  uint32_t tasks = 0;
  Resources declared;  // For each task.
  microseconds declared_run{0};
  int32_t priority = 0;
  bool is_urgent = false;
  bool is_checkpointable = false;
  Instant deadline = Instant::max();
  Separation separation;
  // Tasks that have already ended, for a scheduler that starts with existing
  // jobs.
  std::vector<uint32_t> ended;

  friend bool operator==(const JobSubmitted&, const JobSubmitted&) = default;
};

// A claim of this or another scheduler took effect.
struct ClaimAccepted {
  TaskId task;
  Attempt attempt;
  WorkerId worker;
  Incarnation incarnation;
  Resources grant;

  friend bool operator==(const ClaimAccepted&, const ClaimAccepted&) = default;
};

enum class ClaimRejection {
  kExpired,     // Can no longer take effect.
  kWorkerGone,  // Another incarnation, draining, lapsed or unknown.
  kNoCapacity,  // Does not fit the worker at that offset.
  kTaskTaken,   // Another attempt is live, or another number is next.
  kTaskEnded,   // The task, or its job, needs no further attempt.
  kQuota,       // Above the quota at that offset.
  kKeptApart,   // A separation forbids the worker at that offset.
};

// A claim that this scheduler proposed will never take effect.
struct ClaimRejected {
  TaskId task;
  Attempt attempt;
  ClaimRejection reason = ClaimRejection::kExpired;

  friend bool operator==(const ClaimRejected&, const ClaimRejected&) = default;
};

// The worker runs the attempt.
struct TaskStarted {
  TaskId task;
  Attempt attempt;

  friend bool operator==(const TaskStarted&, const TaskStarted&) = default;
};

// The worker enforces this grant.
struct GrantConfirmed {
  TaskId task;
  Attempt attempt;
  Resources grant;

  friend bool operator==(const GrantConfirmed&,
                         const GrantConfirmed&) = default;
};

// The log holds this grant, requested by this or another scheduler. Delivered
// in log order.
struct GrantRecorded {
  TaskId task;
  Attempt attempt;
  Resources grant;

  friend bool operator==(const GrantRecorded&, const GrantRecorded&) = default;
};

// This grant will not be enforced; the one before it still is.
struct GrantRefused {
  TaskId task;
  Attempt attempt;
  Resources grant;

  friend bool operator==(const GrantRefused&, const GrantRefused&) = default;
};

// Resource usage of an attempt. Reports may be late, reordered or wrong.
struct UsageReported {
  TaskId task;
  Attempt attempt;
  Resources used;
  int64_t progress_permille = 0;  // 0 to 1000.
  Instant measured_at;

  friend bool operator==(const UsageReported&, const UsageReported&) = default;
};

// Latency of a service on a worker. Reports may be late, reordered or wrong.
struct LatencyReported {
  WorkerId worker;
  ServiceId service;
  microseconds p50{0};
  microseconds p99{0};
  int64_t requests = 0;
  Instant measured_from;
  Instant measured_until;

  friend bool operator==(const LatencyReported&,
                         const LatencyReported&) = default;
};

// Advances the time. Must be sent at least every 250 ms.
struct Tick {
  friend bool operator==(const Tick&, const Tick&) = default;
};

// The other regions are unreachable. Quotas are not exceeded until they are
// reachable again.
struct RegionCutOff {
  friend bool operator==(const RegionCutOff&, const RegionCutOff&) = default;
};

struct RegionRejoined {
  friend bool operator==(const RegionRejoined&,
                         const RegionRejoined&) = default;
};

using Event = std::variant<Tick,
                           PolicyChanged,
                           WorkerUp,
                           WorkerAssigned,
                           WorkerDraining,
                           WorkerLapsed,
                           WorkerFreed,
                           WorkerQuarantined,
                           JobSubmitted,
                           JobCancelled,
                           JobRefused,
                           ClaimAccepted,
                           ClaimRejected,
                           TaskStarted,
                           TaskEnded,
                           GrantConfirmed,
                           GrantRecorded,
                           GrantRefused,
                           UsageReported,
                           LatencyReported,
                           KnowledgeNoted,
                           RegionCutOff,
                           RegionRejoined>;

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_EVENT_H_
