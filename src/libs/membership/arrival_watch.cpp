#include "membership/arrival_watch.h"

#include <algorithm>

namespace papayadrift::membership {
namespace {

// The timeout is three mean intervals and four deviations.
constexpr int kMeans = 3;
constexpr int kDeviations = 4;
// Weights of a new interval: 1/8 in the mean, 1/4 in the deviation.
constexpr int kMeanShare = 8;
constexpr int kDeviationShare = 4;
// Each heartbeat in time takes 1/16 of the penalty away.
constexpr int kPenaltyShare = 16;

}  // namespace

ArrivalWatch::ArrivalWatch(SuspicionSettings settings, Instant start)
    : settings_(settings),
      last_heard_(start),
      mean_(settings.minimum_timeout / kMeans) {}

void ArrivalWatch::OnArrival(Instant now) {
  OnTime(now);
  // An interval beyond the maximum is an outage, not a rhythm to learn.
  const microseconds interval =
      std::min<microseconds>(now - last_heard_, settings_.maximum_timeout);
  last_heard_ = now;
  const microseconds error = interval - mean_;
  mean_ += error / kMeanShare;
  deviation_ += (std::chrono::abs(error) - deviation_) / kDeviationShare;
  if (!is_suspected()) {
    penalty_ -= penalty_ / kPenaltyShare;
    return;
  }
  ++arrivals_since_suspicion_;
  if (arrivals_since_suspicion_ >= settings_.arrivals_to_trust) {
    suspected_at_.reset();
    penalty_ = std::min<microseconds>(penalty_ + settings_.minimum_timeout,
                                      settings_.maximum_timeout);
  }
}

void ArrivalWatch::OnTime(Instant now) {
  if (now - last_heard_ < Timeout()) {
    return;
  }
  if (!is_suspected()) {
    suspected_at_ = now;
  }
  arrivals_since_suspicion_ = 0;
}

microseconds ArrivalWatch::Timeout() const {
  return std::clamp<microseconds>(
      kMeans * mean_ + kDeviations * deviation_ + penalty_,
      settings_.minimum_timeout, settings_.maximum_timeout);
}

}  // namespace papayadrift::membership
