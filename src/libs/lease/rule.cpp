#include "lease/rule.h"

#include <algorithm>

namespace papayadrift::lease {
namespace {

constexpr int64_t kPartsPerMillion = 1'000'000;

}  // namespace

microseconds ExtendForClockError(microseconds duration,
                                 const LeaseSettings& settings) {
  const int64_t fast = kPartsPerMillion + settings.clock_rate_error_ppm;
  const int64_t slow = kPartsPerMillion - settings.clock_rate_error_ppm;
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

Instant OutageCapEndsAt(Instant begun_at, const LeaseSettings& settings) {
  return begun_at + settings.outage_cap;
}

bool IsWithinOutageCap(Instant begun_at,
                       Instant now,
                       const LeaseSettings& settings) {
  return now < OutageCapEndsAt(begun_at, settings);
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
  return given_at + ExtendForClockError(settings.promise, settings);
}

std::optional<FreezeRefusal> FindPromiseRefusal(
    const PromiseConditions& conditions) {
  const size_t most = std::min(conditions.most_exclusions, kMaximumExclusions);
  if (conditions.is_requester_pending || conditions.pending_lapses > most) {
    return FreezeRefusal::kLapsePending;
  }
  if (conditions.is_lapse_wanted) {
    return FreezeRefusal::kLapseWanted;
  }
  if (conditions.requester_applied < conditions.last_change ||
      !conditions.requester_knows_joiners) {
    return FreezeRefusal::kRequesterBehind;
  }
  return std::nullopt;
}

Instant FullMemberAfterAcknowledgement(Instant heard_at,
                                       const LeaseSettings& settings) {
  return heard_at + ExtendForClockError(settings.promise, settings);
}

Instant FullMemberAfterOutageCap(Instant seen_at,
                                 const LeaseSettings& settings) {
  return seen_at + ExtendForClockError(settings.outage_cap, settings);
}

Instant LoanLiveUntil(Instant asked_at, const LeaseSettings& settings) {
  return asked_at + settings.loan_term;
}

bool IsLoanLive(Instant asked_at, Instant now, const LeaseSettings& settings) {
  return now < LoanLiveUntil(asked_at, settings);
}

Instant LoanSlotsFreeAt(Instant lent_at, const LeaseSettings& settings) {
  const auto held = settings.loan_term + settings.maximum_request;
  return lent_at + ExtendForClockError(held + settings.pause_margin, settings);
}

Instant WorkerLapseCompleteAt(Instant seen_at, const LeaseSettings& settings) {
  const auto held = settings.tail_freshness + settings.renewal;
  return seen_at + ExtendForClockError(held + settings.pause_margin, settings);
}

Instant EntryLapseCompleteAt(Instant seen_at, const LeaseSettings& settings) {
  // The slots that the entry lent last may be used for another loan term.
  const auto held =
      settings.tail_freshness + settings.loan_term + settings.maximum_request;
  return seen_at + ExtendForClockError(held + settings.pause_margin, settings);
}

}  // namespace papayadrift::lease
