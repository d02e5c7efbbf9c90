#ifndef PAPAYADRIFT_LEASE_WORKER_LEASE_H_
#define PAPAYADRIFT_LEASE_WORKER_LEASE_H_

#include <cstdint>
#include <map>
#include <optional>

#include "base/identifiers.h"
#include "base/instant.h"

namespace papayadrift::lease {

// The part of an entry's answer to a heartbeat that concerns the lease.
struct LeaseAnswer {
  uint64_t sequence = 0;    // Of the answered heartbeat.
  Incarnation incarnation;  // Of the worker that sent the heartbeat.
  milliseconds renewal{0};  // 0 if the lease is not renewed.
  Offset state_offset;      // Offset up to which the entry has replayed.

  friend bool operator==(const LeaseAnswer&, const LeaseAnswer&) = default;
};

enum class AnswerRefusal {
  kOtherIncarnation,  // Meant for an earlier or later incarnation of the
                      // worker.
  kUnknownHeartbeat,  // The heartbeat was never sent, or is already answered.
  kOldState,      // The entry has replayed less than one that answered before.
  kLeaseNotLive,  // The lease is not live after the answer.
};

// The lease of one incarnation of a worker, on the worker's own clock, which
// must keep running while the worker is suspended. When the lease lapses,
// everything that runs under it must stop within LeaseSettings::pause_margin:
// all attempts are stopped without a checkpoint that others rely on, and
// nothing is started.
class WorkerLease {
 public:
  explicit WorkerLease(Incarnation incarnation);

  void OnHeartbeatSent(uint64_t sequence, Instant now);
  // Renews the lease according to the answer, counted from when its heartbeat
  // was sent.
  void OnAnswer(const LeaseAnswer& answer, Instant now);
  // Records a lapse that has happened by `now`, so that must_stop() returns
  // true.
  void OnTime(Instant now);
  // Confirms that all attempts have stopped after a lapse.
  void OnStopped();

  bool IsLive(Instant now) const;
  // Whether a lapse has happened and OnStopped() has not been called since.
  // Nothing may start until then, even if the lease was renewed meanwhile.
  bool must_stop() const { return must_stop_; }
  // Returns whether the orders of the last answer may be followed at `now`.
  bool MayFollowOrders(Instant now) const;
  // When the lease ends, if it was ever renewed.
  std::optional<Instant> live_until() const { return live_until_; }
  // Why the orders of the last answer must be ignored, if they must.
  std::optional<AnswerRefusal> last_reason() const { return last_reason_; }

 private:
  const Incarnation incarnation_;
  std::map<uint64_t, Instant> sent_at_;
  std::optional<Instant> live_until_;
  Offset highest_state_;
  bool must_stop_ = false;
  std::optional<AnswerRefusal> last_reason_ = AnswerRefusal::kLeaseNotLive;
};

}  // namespace papayadrift::lease

#endif  // PAPAYADRIFT_LEASE_WORKER_LEASE_H_
