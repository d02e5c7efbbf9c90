#ifndef PAPAYADRIFT_TESTS_LEASE_LEASE_MODEL_H_
#define PAPAYADRIFT_TESTS_LEASE_LEASE_MODEL_H_

// A small model of the lease rule for exhaustive exploration: entries 0 and 1
// are full members, entry 2 may join, and one or two workers hold leases. Time
// advances in units, and the clock of each process has its own constant rate.
// All instants are stored as ages or remaining times, so that the model can run
// indefinitely.
//
// Pauses of processes, outages of the log and lost messages need no state of
// their own, because every step may be delayed indefinitely.

#include <array>
#include <cstdint>
#include <vector>

#include "lease/lease_settings.h"

namespace papayadrift::lease::model {

inline constexpr int kEntries = 3;
inline constexpr int kWorkers = 2;
inline constexpr int kMaximumRecords = 4;
inline constexpr uint8_t kNever = 255;

// A part of the rule that is omitted or implemented wrongly.
enum class Fault : uint8_t {
  kNone,
  kRenewalFromArrival,    // The worker counts from the answer's arrival.
  kFreshnessFromArrival,  // A read counts from when its answer came.
  kPromiseFromArrival,    // The requester counts from the answer's arrival.
  kPromiseNotKept,        // The responder forgets its promise.
  kPromiseToLaggingRequester,  // The responder ignores what the requester has
                               // replayed.
  kPromiseWhileLapsePending,   // The responder excludes no subject from its
                               // promise.
  kPromiseToPendingRequester,  // The responder promises although it has
                               // authored the lapse of the requester.
  kExcludingPromiseNotKept,    // The responder forgets a promise that excludes
                               // subjects.
  kExclusionIgnored,           // The requester renews an excluded subject.
  kOnePromiseIsEnough,         // The requester does not wait for every member.
  kOwnPendingLapseIgnored,     // The requester renews a subject whose lapse it
                               // authored.
  kJoinerFullAtOnce,
  kJoinerFullOnAcknowledgement,  // Without waiting for V.
  kJoinerAcknowledgedByJoiner,   // A member that is not a full member counts.
  kRestartedIsFull,              // A new incarnation is a full member at once.
  kCapIgnoredByRenewer,
  kNoRateErrorInMargins,
  kNoFreshnessInWait,  // A lapse is complete after L alone.
  kNoPauseMarginInWait,
  kNoRequestInEntryWait,      // A retired entry's requests are not waited for.
  kFalseRetirement,           // Operators retire an entry that still runs.
  kLapseOfNonMemberAccepted,  // Replay ignores whether the author is a member.
};

struct Scenario {
  LeaseSettings settings;  // One unit is one millisecond.
  Fault fault = Fault::kNone;
  int workers = 1;
  // Whether the answers to reads, promise requests and heartbeats may be
  // delayed indefinitely. Otherwise they arrive at once, if at all.
  bool slow_reads = false;
  bool slow_promises = false;
  bool slow_renewals = false;
  bool has_second_entry = true;
  bool is_second_joining = false;  // Entry 1 has joined, unknown to entry 0.
  unsigned renewers = 7;           // Mask of the entries that renew leases.
  // Masks of the subjects whose lapse each entry may author.
  std::array<uint8_t, kEntries> may_author{255, 255, 255};
  // Whether an entry may author a lapse while another one is pending.
  bool may_lapse_two = false;
  bool may_join = false;
  bool may_replace = false;  // Entry 2 takes the address of a crashed entry 1.
  bool may_leave = false;
  bool may_lapse_entries = false;
  bool has_requests = false;  // Whether uses of slot shares are checked.
  bool may_crash = false;
  // Whether entry 2 may retire a dead entry on behalf of the operators.
  bool may_retire = false;
  bool has_cap = false;
  // Advance of each clock per tick of time.
  std::array<uint8_t, kEntries> entry_rates{};
  uint8_t worker_rate = 0;
};

enum class ProcessState : uint8_t { kAbsent, kRunning, kDead };

// A pending message exchange between two entries, with its age on the
// requester's clock.
struct Exchange {
  uint8_t age = kNever;
  uint8_t is_answered = 0;
  uint8_t excluded = 0;  // Mask of subjects, in the answer.
};

struct EntryState {
  ProcessState process_state = ProcessState::kAbsent;
  uint8_t applied = 0;          // Records replayed.
  uint8_t tail_age = kNever;    // Since the last read began.
  uint8_t read_age = kNever;    // Since the pending read began.
  uint8_t read_end = 0;         // Records that the pending read will show.
  uint8_t kept_for = 0;         // Until its promises have expired.
  uint8_t full_in = kNever;     // Until it is a full member.
  uint8_t acknowledged_by = 0;  // Mask of entries.
  uint8_t knows_joiner = 0;     // Whether entry 2 sent a notice to this entry.
  uint8_t pending = 0;          // Mask of the subjects of pending lapses.
  uint8_t stored = 0;           // Those of them whose record is in the log.
  uint8_t using_for = 0;        // Until its requests have ended.
  std::array<uint8_t, kEntries> promise_ages{kNever, kNever, kNever};
  // Mask of the subjects that each promise excludes.
  std::array<uint8_t, kEntries> excluded{};
  std::array<Exchange, kEntries> asked;
};

struct WorkerState {
  uint8_t runs_for = 0;         // Until everything under the lease has stopped.
  uint8_t answer_age = kNever;  // Of the pending answer.
};

struct State {
  std::array<EntryState, kEntries> entries;
  std::array<WorkerState, kWorkers> workers;
  std::array<uint8_t, kMaximumRecords> log{};
  uint8_t log_size = 0;
  // Ticks until the lapse of a subject is complete at the first entry. The
  // count continues when that entry dies, which can only make the model less
  // safe.
  std::array<uint8_t, kWorkers + kEntries> complete_in{kNever, kNever, kNever,
                                                       kNever, kNever};
};

// Returns the initial state: the members have replayed all records and have
// just read the tail.
State Start(const Scenario& scenario);

// Appends every state that can follow `state` in one step.
void AppendNext(const Scenario& scenario,
                const State& state,
                std::vector<State>& next);

// Returns whether a lapse is complete at some entry while the lease, or a use
// of the entry's slot shares, still continues.
bool IsUnsafe(const State& state);

}  // namespace papayadrift::lease::model

#endif  // PAPAYADRIFT_TESTS_LEASE_LEASE_MODEL_H_
