#ifndef PAPAYADRIFT_MEMBERSHIP_ARRIVAL_WATCH_H_
#define PAPAYADRIFT_MEMBERSHIP_ARRIVAL_WATCH_H_

#include <optional>

#include "base/instant.h"

namespace papayadrift::membership {

struct SuspicionSettings {
  // Bounds of the time without a heartbeat after which a peer is suspected.
  milliseconds minimum_timeout{2000};
  milliseconds maximum_timeout{10000};
  // Heartbeats in a row that clear a suspicion.
  int arrivals_to_trust = 3;

  friend bool operator==(const SuspicionSettings&,
                         const SuspicionSettings&) = default;
};

// Watches the heartbeats of one peer and suspects it when they stay away. The
// timeout follows the intervals seen: their smoothed mean plus a multiple of
// their smoothed deviation. A suspicion that proved wrong lengthens it, so that
// a slow peer does not come and go.
class ArrivalWatch {
 public:
  // The peer counts as heard at `start`.
  ArrivalWatch(SuspicionSettings settings, Instant start);

  void OnArrival(Instant now);
  void OnTime(Instant now);

  bool is_suspected() const { return suspected_at_.has_value(); }
  // Since when the peer is suspected, if it is.
  std::optional<Instant> suspected_at() const { return suspected_at_; }
  Instant last_heard() const { return last_heard_; }
  microseconds Timeout() const;

 private:
  const SuspicionSettings settings_;
  Instant last_heard_;
  microseconds mean_;
  microseconds deviation_{0};
  microseconds penalty_{0};
  std::optional<Instant> suspected_at_;
  int arrivals_since_suspicion_ = 0;
};

}  // namespace papayadrift::membership

#endif  // PAPAYADRIFT_MEMBERSHIP_ARRIVAL_WATCH_H_
