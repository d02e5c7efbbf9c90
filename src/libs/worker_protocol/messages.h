#ifndef PAPAYADRIFT_WORKER_PROTOCOL_MESSAGES_H_
#define PAPAYADRIFT_WORKER_PROTOCOL_MESSAGES_H_

// What workers and entries say to each other: JSON over HTTP,
// POST /v1/workers/<worker>/heartbeats. The worker pulls; orders state what is
// wanted, are repeated until the worker's reports show that they are met, and
// are therefore idempotent.

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/identifiers.h"
#include "base/resources.h"
#include "records/record.h"

namespace papayadrift::worker_protocol {

// An attempt as its worker sees it. It is reported until an entry confirms
// that its end is recorded.
struct AttemptReport {
  TaskId task;
  Attempt attempt;
  FencingToken token;
  bool has_ended = false;
  records::TaskEnding ending = records::TaskEnding::kFinished;  // If ended.
  CheckpointId checkpoint;                                      // If any.
  Resources grant;                // Enforced at the moment.
  Resources used;                 // As measured, with a lag.
  int64_t progress_permille = 0;  // 0 to 1000.

  friend bool operator==(const AttemptReport&, const AttemptReport&) = default;
};

// Latency of a service on this worker since the last report, in microseconds.
struct LatencyReport {
  ServiceId service;
  int64_t p50_microseconds = 0;
  int64_t p99_microseconds = 0;
  int64_t requests = 0;

  friend bool operator==(const LatencyReport&, const LatencyReport&) = default;
};

// `announcement` is the worker's whole description, also of its incarnation.
struct Heartbeat {
  uint64_t sequence = 0;  // Grows with each heartbeat of an incarnation.
  records::WorkerAnnounced announcement;
  bool is_draining = false;
  std::vector<AttemptReport> attempts;
  std::vector<LatencyReport> latencies;

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

// Run the attempt, unless its token was seen before.
struct StartOrder {
  TaskId task;
  Attempt attempt;
  FencingToken token;
  KindId kind;
  Resources grant;
  CheckpointId resumes;  // Empty for a start from the beginning.
  int64_t declared_run_milliseconds = 0;
  bool is_checkpointable = false;

  friend bool operator==(const StartOrder&, const StartOrder&) = default;
};

// End the attempt, without a checkpoint.
struct StopOrder {
  TaskId task;
  Attempt attempt;

  friend bool operator==(const StopOrder&, const StopOrder&) = default;
};

// Write a checkpoint, then end the attempt.
struct CheckpointOrder {
  TaskId task;
  Attempt attempt;

  friend bool operator==(const CheckpointOrder&,
                         const CheckpointOrder&) = default;
};

// Enforce this grant from now on.
struct GrantOrder {
  TaskId task;
  Attempt attempt;
  Resources grant;

  friend bool operator==(const GrantOrder&, const GrantOrder&) = default;
};

// The end of the attempt is recorded: forget it.
struct ForgetOrder {
  TaskId task;
  Attempt attempt;

  friend bool operator==(const ForgetOrder&, const ForgetOrder&) = default;
};

using Order = std::
    variant<StartOrder, StopOrder, CheckpointOrder, GrantOrder, ForgetOrder>;

// An entry's answer. A worker ignores the orders of an answer whose
// `state_offset` is below one that it has seen.
struct HeartbeatAnswer {
  uint64_t sequence = 0;  // Of the heartbeat that is answered.
  Incarnation incarnation;
  // The lease runs until this long after the worker sent the heartbeat, by
  // the worker's clock; 0 if it is not renewed.
  int64_t renewal_milliseconds = 0;
  Offset state_offset;
  // This incarnation gets no lease any more: the worker stops everything and
  // announces itself under a higher one.
  bool is_incarnation_over = false;
  std::string home_address;  // "ip:port" of the entry to ask first.
  std::vector<std::string> entry_addresses;
  std::vector<Order> orders;
  // Orders for urgent work are near: the worker should ask again after this,
  // and not wait for its next heartbeat. It may be ignored.
  std::optional<int64_t> ask_again_milliseconds;

  friend bool operator==(const HeartbeatAnswer&,
                         const HeartbeatAnswer&) = default;
};

}  // namespace papayadrift::worker_protocol

#endif  // PAPAYADRIFT_WORKER_PROTOCOL_MESSAGES_H_
