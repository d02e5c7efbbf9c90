#ifndef PAPAYADRIFT_JOBS_RUNNER_H_
#define PAPAYADRIFT_JOBS_RUNNER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/resources.h"
#include "jobs/job.h"

// Messages about runners between agents and the leader.

namespace papayadrift::jobs {

enum class RunnerState { kReady, kDraining, kGone };

enum class RunEnd {
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,
  kBroken,
  kGangIncomplete
};

// A run that its runner lists as active.
struct ActiveRun {
  TaskKey task;
  uint32_t run = 0;
  std::string checkpoint;  // The latest; empty: none.
  uint32_t percent = 0;    // Share of the task's work that is done.
  // Of a step with a tail target: its tail latency in milliseconds; of others:
  // millicores in use.
  int64_t gauge = 0;

  friend bool operator==(const ActiveRun&, const ActiveRun&) = default;
};

// The end of a run, listed by its runner until it is acknowledged.
struct EndedRun {
  uint64_t number = 0;  // Sequence number within one incarnation, from 1.
  TaskKey task;
  uint32_t run = 0;
  RunEnd end = RunEnd::kDone;
  std::string checkpoint;

  friend bool operator==(const EndedRun&, const EndedRun&) = default;
};

// When a runner may have crashed, on its agent's clock.
struct CrashTime {
  int64_t earliest_ms = 0;
  int64_t latest_ms = 0;

  friend bool operator==(const CrashTime&, const CrashTime&) = default;
};

// The state of a runner as its agent knows it. Times of the agent are
// milliseconds on its own clock, which keeps running while its VM is suspended.
struct RunnerReport {
  RunnerIncarnation incarnation;
  std::string agent_address;
  std::string service;
  std::string zone;
  std::string vm;  // Stays the same across incarnations of the runner.
  RunnerState state = RunnerState::kReady;
  Resources capacity;
  std::vector<std::string> labels;
  int64_t sent_at_ms = 0;
  // The lists are at least as new as this time; 0: there are none.
  int64_t listed_at_ms = 0;
  std::vector<ActiveRun> active;
  std::vector<EndedRun> ended;
  // When it crashed, if it ended without announcing it, or may have crashed
  // while it is unreachable.
  std::optional<CrashTime> crash;
  // Whether `ended` has all ends that are not acknowledged; a runner lists a
  // limited number of them at once.
  bool has_all_ends = true;
  // When the agent started, by its VM's time of day. Its clock may start anew
  // with it.
  int64_t agent_start_unix_ms = 0;
  // Connections to its address are refused. Its process may have ended, or may
  // be alive behind a cut path: its runs may go on until its lease ends.
  bool is_unreachable = false;
  // When the process before it may have crashed, if calls to that had failed.
  std::optional<CrashTime> earlier_crash;
  // The latest one in which it has called the runner; see
  // cluster::FencingToken.
  uint64_t call_epoch = 0;

  static constexpr size_t kRequiredFields = 12;  // Before `crash`.

  friend bool operator==(const RunnerReport&, const RunnerReport&) = default;
};

struct ReportAnswer {
  uint64_t term = 0;
  // Ends up to this number are stored, and the agent may drop them.
  uint64_t recorded_ends = 0;
  // Leases of the runner may last until this time on the agent's clock; 0: no
  // lease is granted yet.
  int64_t lease_until_ms = 0;
  // The agent calls its runner in this epoch or later ones; see
  // cluster::FencingToken.
  uint64_t call_epoch = 0;

  static constexpr size_t kRequiredFields = 3;  // Before that.

  friend bool operator==(const ReportAnswer&, const ReportAnswer&) = default;
};

struct StartOrder {
  TaskKey task;
  uint32_t run = 0;
  std::string payload;
  std::string checkpoint;
  std::string ticket;

  friend bool operator==(const StartOrder&, const StartOrder&) = default;
};

struct StopOrder {
  TaskKey task;
  uint32_t run = 0;

  friend bool operator==(const StopOrder&, const StopOrder&) = default;
};

struct PaceOrder {
  TaskKey task;
  uint32_t run = 0;
  uint32_t percent = 100;

  friend bool operator==(const PaceOrder&, const PaceOrder&) = default;
};

using Order = std::variant<StartOrder, StopOrder, PaceOrder>;

// Orders for one incarnation of a runner. Each is idempotent.
struct OrderBatch {
  uint64_t term = 0;
  RunnerIncarnation incarnation;
  std::vector<Order> orders;
  // Starts and paces must not be sent to the runner after this time on the
  // agent's clock; 0: no limit. A stop is right at any time.
  int64_t valid_until_ms = 0;
  // Starts rest on the jobs and cancellations that were stored by this time on
  // the agent's clock; 0: not known, and no start is carried out.
  int64_t jobs_viewed_at_ms = 0;

  static constexpr size_t kRequiredFields = 3;  // Before `valid_until_ms`.

  friend bool operator==(const OrderBatch&, const OrderBatch&) = default;
};

enum class OrderVerdict {
  kDone,          // Executed, now or before.
  kSuperseded,    // The runner has got a call with a higher fencing token.
  kStaleRun,      // This run or a later one was stopped or has ended there.
  kLeaseExpired,  // The lease that came with it had expired.
  kNoRoom,
  kBadTicket,
  kUnhealthy,  // The runner did nothing.
  // The agent or runner did nothing: another incarnation, or draining.
  kRefused,
  kUnanswered,  // It may be executed now, later, or never.
  kExpired,     // The agent did nothing: the order came too late.
  // The agent did nothing: the job may have been cancelled too long ago by now,
  // without the leader's knowledge.
  kOldView,
  // The agent did nothing: the time of the leader's view of the jobs is missing
  // or in the future.
  kBadView,
};

struct OrderResult {
  OrderVerdict verdict = OrderVerdict::kUnanswered;
  int64_t known_at_ms = 0;  // On the agent's clock.

  friend bool operator==(const OrderResult&, const OrderResult&) = default;
};

// One result for each order, in the same order.
struct OrderAnswer {
  std::vector<OrderResult> results;
  int64_t agent_start_unix_ms = 0;  // See RunnerReport.

  static constexpr size_t kRequiredFields = 1;  // Before that.

  friend bool operator==(const OrderAnswer&, const OrderAnswer&) = default;
};

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_RUNNER_H_
