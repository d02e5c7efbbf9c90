#ifndef PAPAYADRIFT_TESTS_LEASE_LEASE_MODEL_H_
#define PAPAYADRIFT_TESTS_LEASE_LEASE_MODEL_H_

// A small model of the lease rule for exhaustive exploration: entries 0 and 1
// are full members, entry 2 may join, and one or two workers hold leases. Time
// is in units; every process's clock has its own constant rate. All instants
// are kept as ages or remaining times, so that the model runs for ever.
//
// Pauses of processes, an outage of the log and the loss of messages need no
// state of their own: every step may be delayed for ever.

#include <array>
#include <cstdint>
#include <vector>

#include "lease/lease_settings.h"

namespace papayadrift::lease::model {

inline constexpr int kEntries = 3;
inline constexpr int kWorkers = 2;
inline constexpr int kMaximumRecords = 4;
inline constexpr uint8_t kNever = 255;

// A part of the rule that is left out or done wrong.
enum class Fault : uint8_t {
  kNone,
  kRenewalFromArrival,         // The worker counts from the answer's arrival.
  kFreshnessFromArrival,       // A read counts from when its answer came.
  kPromiseFromArrival,         // The asker counts from the answer's arrival.
  kPromiseNotKept,             // The giver forgets its promise.
  kPromiseToLaggingRequester,  // The giver ignores what the asker knows.
  kPromiseWhileLapsePending,   // The giver excludes nobody from its promise.
  kPromiseToPendingRequester,  // The giver promises to whom it lapses itself.
  kExcludingPromiseNotKept,    // The giver forgets a promise that excludes.
  kExclusionIgnored,           // The asker renews whom a promise excludes.
  kOnePromiseIsEnough,         // The asker does not wait for every member.
  kOwnPendingLapseIgnored,     // The asker renews what it lapses itself.
  kJoinerFullAtOnce,
  kJoinerFullOnAcknowledgement,  // Without waiting for V.
  kJoinerAcknowledgedByJoiner,   // A member that is not full counts.
  kRestartedIsFull,              // A new incarnation takes over at once.
  kCapIgnoredByRenewer,
  kNoRateErrorInMargins,
  kNoFreshnessInWait,  // A lapse is complete after L alone.
  kNoPauseMarginInWait,
  kNoRequestInEntryWait,      // A retired entry's requests are not waited for.
  kFalseRetirement,           // Operators call an entry gone that runs.
  kLapseOfNonMemberAccepted,  // Replay ignores whether the author is a member.
};

struct Scenario {
  LeaseSettings settings;  // One unit is one millisecond.
  Fault fault = Fault::kNone;
  int workers = 1;
  // Whether the answers to reads, requests for promises and heartbeats may
  // travel for any time. Otherwise they arrive at once, if at all.
  bool slow_reads = false;
  bool slow_promises = false;
  bool slow_renewals = false;
  bool has_second_entry = true;
  bool is_second_joining = false;  // Entry 1 has joined, unknown to entry 0.
  unsigned renewers = 7;           // Mask of the entries that renew leases.
  // Masks of the subjects whose lapse each entry may author.
  std::array<uint8_t, kEntries> may_author{255, 255, 255};
  // Whether an entry may author a lapse with another one under way.
  bool may_lapse_two = false;
  bool may_join = false;
  bool may_replace = false;  // Entry 2 takes the address of a crashed entry 1.
  bool may_leave = false;
  bool may_lapse_entries = false;
  bool has_requests = false;  // Whether uses of shares are looked at.
  bool may_crash = false;
  bool may_retire = false;  // By operators' word, entry 2 lapses a dead entry.
  bool has_cap = false;
  // Advance of each clock with a tick of time.
  std::array<uint8_t, kEntries> entry_rates{};
  uint8_t worker_rate = 0;
};

enum class ProcessState : uint8_t { kAbsent, kRunning, kDead };

// A message under way between two entries, with its age by the asker's clock.
struct Exchange {
  uint8_t age = kNever;
  uint8_t is_answered = 0;
  uint8_t excluded = 0;  // Mask of subjects, in the answer.
};

struct EntryState {
  ProcessState process_state = ProcessState::kAbsent;
  uint8_t applied = 0;          // Records replayed.
  uint8_t tail_age = kNever;    // Since the last read began.
  uint8_t read_age = kNever;    // Since the read under way began.
  uint8_t read_end = 0;         // Records that it will show.
  uint8_t kept_for = 0;         // Until its promises have run out.
  uint8_t full_in = kNever;     // Until it is full.
  uint8_t acknowledged_by = 0;  // Mask of entries.
  uint8_t knows_joiner = 0;     // Whether entry 2 introduced itself here.
  uint8_t pending = 0;          // Mask of the subjects of lapses under way.
  uint8_t stored = 0;           // Those of them whose record is in the log.
  uint8_t using_for = 0;        // Until its requests have ended.
  std::array<uint8_t, kEntries> promise_ages{kNever, kNever, kNever};
  std::array<uint8_t, kEntries> excluded{};  // By each promise: subjects.
  std::array<Exchange, kEntries> asked;
};

struct WorkerState {
  uint8_t runs_for = 0;         // Until everything under the lease stopped.
  uint8_t answer_age = kNever;  // Of the answer under way.
};

struct State {
  std::array<EntryState, kEntries> entries;
  std::array<WorkerState, kWorkers> workers;
  std::array<uint8_t, kMaximumRecords> log{};
  uint8_t log_size = 0;
  // Ticks until the lapse of a subject is complete at the first entry. It goes
  // on when that entry dies, which can only make the model less safe.
  std::array<uint8_t, kWorkers + kEntries> complete_in{kNever, kNever, kNever,
                                                       kNever, kNever};
};

// Where everything starts: the members have replayed all and read just now.
State Start(const Scenario& scenario);

// Appends every state that can follow `state` in one step.
void AppendNext(const Scenario& scenario,
                const State& state,
                std::vector<State>& next);

// Whether a lapse is complete at some entry while the lease, or a use of the
// entry's shares, still goes on.
bool IsUnsafe(const State& state);

}  // namespace papayadrift::lease::model

#endif  // PAPAYADRIFT_TESTS_LEASE_LEASE_MODEL_H_
