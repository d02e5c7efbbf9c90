#ifndef PAPAYADRIFT_LEASE_RULE_H_
#define PAPAYADRIFT_LEASE_RULE_H_

// The lease rule as functions of instants. Each function takes instants of one
// process only. The classes of this library and the exhaustive exploration in
// tests/auto/lease both call them.
//
// Safety: once a lapse is complete, the lease is not live by the worker's
// clock, provided that clocks keep to the stated rate error, that the log
// orders its records, and that replay accepts a lapse only from an author that
// is a member, and not lapsed, at the offset of the record.

#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/identifiers.h"
#include "base/instant.h"
#include "lease/lease_settings.h"
#include "lease/subjects.h"

namespace papayadrift::lease {

// Returns a duration that, on a fast clock, outlasts `duration` on a slow one.
microseconds ExtendForClockError(microseconds duration,
                                 const LeaseSettings& settings);

// --- Worker ---

// Returns until when a lease runs that was asked for at `sent_at`.
Instant RenewedUntil(Instant sent_at, const LeaseSettings& settings);

// --- Entry that renews ---

// Returns until when a read begun at `begun_at` tells about the log's tail, and
// whether it does at `now`.
Instant TailFreshUntil(Instant begun_at, const LeaseSettings& settings);
bool IsTailFresh(Instant begun_at, Instant now, const LeaseSettings& settings);

// Returns until when renewal without the log is within the cap, when the last
// read began at `begun_at`, and whether it is at `now`.
Instant OutageCapEndsAt(Instant begun_at, const LeaseSettings& settings);
bool IsWithinOutageCap(Instant begun_at,
                       Instant now,
                       const LeaseSettings& settings);

// Returns until when a promise asked for at `asked_at` holds for its asker, and
// whether it does at `now`.
Instant PromiseLiveUntil(Instant asked_at, const LeaseSettings& settings);
bool IsPromiseLive(Instant asked_at,
                   Instant now,
                   const LeaseSettings& settings);

// --- Entry that promises ---

// Returns until when an entry that promises at `given_at` authors no lapse.
Instant PromiseKeptUntil(Instant given_at, const LeaseSettings& settings);

// What an entry knows when it is asked for a promise.
struct PromiseConditions {
  Offset requester_applied;  // Offset up to which the asker has replayed.
  Offset last_change;        // Last change of members or lapse replayed here.
  // The asker knows every joiner that introduced itself here.
  bool requester_knows_joiners = true;
  // Lapses authored here that may yet take effect. The promise excludes their
  // subjects.
  size_t pending_lapses = 0;
  uint32_t most_exclusions = 0;       // How many the asker takes.
  bool is_requester_pending = false;  // One of them is the asker's.
  bool is_lapse_wanted = false;       // A lapse is to be authored here soon.
};

// Returns why an entry may not give a promise, if it may not.
std::optional<FreezeRefusal> FindPromiseRefusal(
    const PromiseConditions& conditions);

// Returns when a joiner is full by the word of one full member, heard at
// `heard_at`, that it knows the joiner.
Instant FullMemberAfterAcknowledgement(Instant heard_at,
                                       const LeaseSettings& settings);

// Returns when a joiner is full without any word, having seen its own join at
// `seen_at`.
Instant FullMemberAfterOutageCap(Instant seen_at,
                                 const LeaseSettings& settings);

// --- Loans of slots ---

// Returns until when a loan asked for at `asked_at` may take new requests, and
// whether it may at `now`.
Instant LoanLiveUntil(Instant asked_at, const LeaseSettings& settings);
bool IsLoanLive(Instant asked_at, Instant now, const LeaseSettings& settings);

// Returns when slots lent at `lent_at` are back without a word.
Instant LoanSlotsFreeAt(Instant lent_at, const LeaseSettings& settings);

// --- Completion of a lapse ---

// Return when a lapse that was seen accepted at `seen_at` is complete.
Instant WorkerLapseCompleteAt(Instant seen_at, const LeaseSettings& settings);
Instant EntryLapseCompleteAt(Instant seen_at, const LeaseSettings& settings);

}  // namespace papayadrift::lease

#endif  // PAPAYADRIFT_LEASE_RULE_H_
