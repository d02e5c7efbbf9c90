#ifndef PAPAYADRIFT_LEASE_RULE_H_
#define PAPAYADRIFT_LEASE_RULE_H_

// The lease rule as functions of instants. All instants passed to a function
// are on the clock of one process. Both the classes of this library and the
// exhaustive exploration in tests/auto/lease call these functions.
//
// Safety: when a lapse is complete, the lease is not live on the worker's
// clock, provided that clocks stay within the configured rate error, that the
// log orders its records, and that replay accepts a lapse only from an author
// that is a member, and not lapsed, at the offset of the record.

#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/identifiers.h"
#include "base/instant.h"
#include "lease/lease_settings.h"
#include "lease/subjects.h"

namespace papayadrift::lease {

// Returns a duration that, measured by a fast clock, is at least as long as
// `duration` measured by a slow one.
microseconds ExtendForClockError(microseconds duration,
                                 const LeaseSettings& settings);

// --- Worker ---

// Returns until when a lease is live whose heartbeat was sent at `sent_at`.
Instant RenewedUntil(Instant sent_at, const LeaseSettings& settings);

// --- Entry that renews ---

// Return until when a read of the log's tail, started at `begun_at`, is fresh,
// and whether it is at `now`.
Instant TailFreshUntil(Instant begun_at, const LeaseSettings& settings);
bool IsTailFresh(Instant begun_at, Instant now, const LeaseSettings& settings);

// Return until when renewal without the log is within the outage cap, for a
// last read started at `begun_at`, and whether it is at `now`.
Instant OutageCapEndsAt(Instant begun_at, const LeaseSettings& settings);
bool IsWithinOutageCap(Instant begun_at,
                       Instant now,
                       const LeaseSettings& settings);

// Return until when a promise requested at `asked_at` is live for its
// requester, and whether it is at `now`.
Instant PromiseLiveUntil(Instant asked_at, const LeaseSettings& settings);
bool IsPromiseLive(Instant asked_at,
                   Instant now,
                   const LeaseSettings& settings);

// --- Entry that promises ---

// Returns until when an entry that gives a promise at `given_at` must not
// author a lapse.
Instant PromiseKeptUntil(Instant given_at, const LeaseSettings& settings);

// What an entry knows when a promise is requested from it.
struct PromiseConditions {
  Offset requester_applied;  // Offset up to which the requester has replayed.
  Offset last_change;        // Last membership change or lapse replayed here.
  // Whether the requester knows every joiner that sent a notice to this entry.
  bool requester_knows_joiners = true;
  // Lapses authored here that may still take effect. The promise excludes their
  // subjects.
  size_t pending_lapses = 0;
  uint32_t most_exclusions = 0;       // Maximum that the requester accepts.
  bool is_requester_pending = false;  // One of them is the requester's.
  bool is_lapse_wanted = false;       // A lapse is about to be authored here.
};

// Returns why an entry may not give a promise, or nothing if it may.
std::optional<FreezeRefusal> FindPromiseRefusal(
    const PromiseConditions& conditions);

// Returns when a joiner becomes a full member after a full member's
// acknowledgement, received at `heard_at`.
Instant FullMemberAfterAcknowledgement(Instant heard_at,
                                       const LeaseSettings& settings);

// Returns when a joiner becomes a full member without any acknowledgement,
// having replayed its own join at `seen_at`.
Instant FullMemberAfterOutageCap(Instant seen_at,
                                 const LeaseSettings& settings);

// --- Loans of slots ---

// Return until when a loan requested at `asked_at` may be used for new
// requests, and whether it may at `now`.
Instant LoanLiveUntil(Instant asked_at, const LeaseSettings& settings);
bool IsLoanLive(Instant asked_at, Instant now, const LeaseSettings& settings);

// Returns when slots lent at `lent_at` are available again without a return
// message.
Instant LoanSlotsFreeAt(Instant lent_at, const LeaseSettings& settings);

// --- Completion of a lapse ---

// Return when a lapse that replay reached at `seen_at` is complete.
Instant WorkerLapseCompleteAt(Instant seen_at, const LeaseSettings& settings);
Instant EntryLapseCompleteAt(Instant seen_at, const LeaseSettings& settings);

}  // namespace papayadrift::lease

#endif  // PAPAYADRIFT_LEASE_RULE_H_
