#ifndef PAPAYADRIFT_LEASE_WORKER_LEASE_H_
#define PAPAYADRIFT_LEASE_WORKER_LEASE_H_

#include <cstdint>
#include <map>
#include <optional>

#include "base/identifiers.h"
#include "base/instant.h"

namespace papayadrift::lease {

// What of an entry's answer to a heartbeat concerns the lease.
struct LeaseAnswer {
  uint64_t sequence = 0;    // Of the heartbeat that is answered.
  Incarnation incarnation;  // Of the worker that is answered.
  milliseconds renewal{0};  // 0 if the lease is not renewed.
  Offset state_offset;      // Offset up to which the entry has replayed.

  friend bool operator==(const LeaseAnswer&, const LeaseAnswer&) = default;
};

enum class AnswerRefusal {
  kOtherIncarnation,  // Meant for an earlier or later life of the worker.
  kUnknownHeartbeat,  // Never sent, or answered already.
  kOldState,          // The entry is behind one that answered before.
  kLeaseNotLive,      // The answer leaves the worker without a lease.
};

// The lease of one incarnation of a worker, by the worker's own clock, which
// must go on while the worker is suspended. When it lapses, everything that
// runs under it must stop within LeaseSettings::pause_margin: all attempts are
// stopped without a checkpoint that others rely on, and nothing is started.
class WorkerLease {
 public:
  explicit WorkerLease(Incarnation incarnation);

  void OnHeartbeatSent(uint64_t sequence, Instant now);
  // Renews the lease as the answer says, counted from when its heartbeat was
  // sent.
  void OnAnswer(const LeaseAnswer& answer, Instant now);
  // Notes that a lapse, if one has happened by `now`, must be acted upon.
  void OnTime(Instant now);
  // All attempts have stopped after a lapse.
  void OnStopped();

  bool IsLive(Instant now) const;
  // Whether a lapse has happened and OnStopped() has not been called since;
  // until then nothing may start, even if the lease was renewed meanwhile.
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
