#include "lease/rule.h"

#include <algorithm>

namespace papayadrift::lease {
namespace {

constexpr int64_t kMillion = 1'000'000;

}  // namespace

microseconds Stretch(microseconds duration, const LeaseSettings& settings) {
  const int64_t fast = kMillion + settings.clock_rate_error_ppm;
  const int64_t slow = kMillion - settings.clock_rate_error_ppm;
  // Rounded up; the excess alone is scaled, to stay clear of overflow.
  const int64_t excess = duration.count() * (fast - slow);
  return duration + microseconds((excess + slow - 1) / slow);
}

Instant RenewedUntil(Instant sent_at, const LeaseSettings& settings) {
  return sent_at + settings.renewal;
}

Instant TailFreshUntil(Instant begun_at, const LeaseSettings& settings) {
  return begun_at + settings.tail_freshness;
}

bool IsTailFresh(Instant begun_at, Instant now, const LeaseSettings& settings) {
  return now < TailFreshUntil(begun_at, settings);
}

Instant CapUntil(Instant begun_at, const LeaseSettings& settings) {
  return begun_at + settings.outage_cap;
}

bool IsWithinCap(Instant begun_at, Instant now, const LeaseSettings& settings) {
  return now < CapUntil(begun_at, settings);
}

Instant PromiseLiveUntil(Instant asked_at, const LeaseSettings& settings) {
  return asked_at + settings.promise;
}

bool IsPromiseLive(Instant asked_at,
                   Instant now,
                   const LeaseSettings& settings) {
  return now < PromiseLiveUntil(asked_at, settings);
}

Instant PromiseKeptUntil(Instant given_at, const LeaseSettings& settings) {
  return given_at + Stretch(settings.promise, settings);
}

std::optional<FreezeRefusal> RefusalToPromise(const PromiseGround& ground) {
  const size_t most = std::min(ground.most_exclusions, kMaximumExclusions);
  if (ground.is_asker_pending || ground.pending_lapses > most) {
    return FreezeRefusal::kLapsePending;
  }
  if (ground.is_lapse_wanted) {
    return FreezeRefusal::kLapseWanted;
  }
  if (ground.asker_applied < ground.last_change ||
      !ground.asker_knows_noticed) {
    return FreezeRefusal::kAskerBehind;
  }
  return std::nullopt;
}

Instant FullAfterAcknowledgement(Instant heard_at,
                                 const LeaseSettings& settings) {
  return heard_at + Stretch(settings.promise, settings);
}

Instant FullAfterCap(Instant seen_at, const LeaseSettings& settings) {
  return seen_at + Stretch(settings.outage_cap, settings);
}

Instant LoanLiveUntil(Instant asked_at, const LeaseSettings& settings) {
  return asked_at + settings.loan_term;
}

bool IsLoanLive(Instant asked_at, Instant now, const LeaseSettings& settings) {
  return now < LoanLiveUntil(asked_at, settings);
}

Instant LoanBackAt(Instant lent_at, const LeaseSettings& settings) {
  const auto held = settings.loan_term + settings.maximum_request;
  return lent_at + Stretch(held + settings.pause_margin, settings);
}

Instant WorkerLapseCompleteAt(Instant seen_at, const LeaseSettings& settings) {
  const auto held = settings.tail_freshness + settings.renewal;
  return seen_at + Stretch(held + settings.pause_margin, settings);
}

Instant EntryLapseCompleteAt(Instant seen_at, const LeaseSettings& settings) {
  // What it lent last is used for another term.
  const auto held =
      settings.tail_freshness + settings.loan_term + settings.maximum_request;
  return seen_at + Stretch(held + settings.pause_margin, settings);
}

}  // namespace papayadrift::lease
