#ifndef PAPAYADRIFT_PLACEMENT_EVENT_H_
#define PAPAYADRIFT_PLACEMENT_EVENT_H_

// What the driver of a Scheduler tells it. Events about attempts that the
// scheduler doesn't know, repeated ones and outdated ones change nothing.

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

// Told as they take effect in the log. A TaskEnded also confirms an eviction;
// WorkerFreed also speaks for earlier incarnations.
using records::JobCancelled;
using records::JobRefused;
using records::KnowledgeNoted;
using records::TaskEnded;
using records::WorkerDraining;
using records::WorkerFreed;
using records::WorkerLapsed;
using records::WorkerQuarantined;

// A policy is in force; it replaces the last one whole.
struct PolicyChanged {
  Policy policy;

  friend bool operator==(const PolicyChanged&, const PolicyChanged&) = default;
};

// A backend server on a worker, with what is set aside for it.
struct RunnerReservation {
  ServiceId service;
  Resources reserved;

  friend bool operator==(const RunnerReservation&,
                         const RunnerReservation&) = default;
};

// A worker announced itself, or announced itself anew with other runners.
struct WorkerUp {
  WorkerId worker;
  Incarnation incarnation;
  ZoneId zone;
  RackId rack;
  Resources capacity;
  std::vector<RunnerReservation> runners;

  friend bool operator==(const WorkerUp&, const WorkerUp&) = default;
};

// Says whether this scheduler may claim on the worker. A worker that was
// announced is claimed on until told otherwise.
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
  // Tasks that have ended already, for a scheduler that starts in the middle.
  std::vector<uint32_t> ended;

  friend bool operator==(const JobSubmitted&, const JobSubmitted&) = default;
};

// A claim took effect, by whichever scheduler.
struct ClaimAccepted {
  TaskId task;
  Attempt attempt;
  WorkerId worker;
  Incarnation incarnation;
  Resources grant;

  friend bool operator==(const ClaimAccepted&, const ClaimAccepted&) = default;
};

enum class ClaimRejection {
  kExpired,     // Proven never to take effect.
  kWorkerGone,  // Another incarnation, draining, lapsed or unknown.
  kNoCapacity,  // Does not fit the worker at that offset.
  kTaskTaken,   // Another attempt is live, or another number is next.
  kTaskEnded,   // The task, or its job, needs no further attempt.
  kQuota,       // Above the quota at that offset.
  kKeptApart,   // A separation forbids the worker at that offset.
};

// A claim that this scheduler proposed has no effect and never will.
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

// The log holds this grant now, whoever asked for it. Told in log order.
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

// Use of an attempt; may come late, reordered, or wrong.
struct UsageReported {
  TaskId task;
  Attempt attempt;
  Resources used;
  int64_t progress_permille = 0;  // 0 to 1000.
  Instant measured_at;

  friend bool operator==(const UsageReported&, const UsageReported&) = default;
};

// Latency of a service on a worker; may come late, reordered, or wrong.
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

// Time has passed. Send one at least every 250 ms.
struct Tick {
  friend bool operator==(const Tick&, const Tick&) = default;
};

// The other regions cannot be heard: quotas are not exceeded until they can.
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
