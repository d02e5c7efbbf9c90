#ifndef PAPAYADRIFT_PEER_PROTOCOL_MESSAGES_H_
#define PAPAYADRIFT_PEER_PROTOCOL_MESSAGES_H_

// What entries say to each other, and entries and guards, as MessagePack over
// streams. Each message states what is so, not what has changed, so that a
// repeated or lost one does no harm; instants never travel, only durations that
// the receiver counts from when it asked.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/identifiers.h"
#include "base/resources.h"
#include "lease/subjects.h"
#include "membership/slot_loans.h"

namespace papayadrift::peer_protocol {

using lease::MemberKey;
using lease::WorkerKey;

inline constexpr uint32_t kProtocolVersion = 1;
inline constexpr size_t kNonceBytes = 32;
inline constexpr size_t kTagBytes = 32;

// --- Handshake, see handshake.h ---

// The dialer introduces itself.
struct PeerHello {
  uint32_t protocol_version = kProtocolVersion;
  MemberKey key;
  std::string address;  // "ip:port" that it listens on for peers.
  std::string nonce;    // kNonceBytes, never used before.

  friend bool operator==(const PeerHello&, const PeerHello&) = default;
};

// The listener proves that it knows the secret and asks for the same.
struct PeerChallenge {
  MemberKey key;
  std::string address;
  std::string nonce;
  std::string tag;  // kTagBytes.

  friend bool operator==(const PeerChallenge&, const PeerChallenge&) = default;
};

// The dialer proves that it knows the secret.
struct PeerProof {
  std::string tag;

  friend bool operator==(const PeerProof&, const PeerProof&) = default;
};

// --- Between entries ---

// Workers whose home the sender is, in sum.
struct HomeLoad {
  uint32_t workers = 0;
  uint32_t running_tasks = 0;
  uint32_t waiting_tasks = 0;
  Resources capacity;
  Resources granted;

  friend bool operator==(const HomeLoad&, const HomeLoad&) = default;
};

struct PeerHeartbeat {
  MemberKey key;
  std::string address;
  ConfigurationVersion configuration;
  Offset applied;  // Decision records replayed.
  Offset digest_offset;
  uint64_t digest = 0;  // Of the state at `digest_offset`.
  HomeLoad load;

  friend bool operator==(const PeerHeartbeat&, const PeerHeartbeat&) = default;
};

// A configuration that the log has accepted, for peers that lag.
struct ConfigurationPush {
  static constexpr size_t kRequiredFields = 3;

  ConfigurationVersion version;
  std::string author;
  std::string text;
  std::vector<RegionId> home_regions;
  uint64_t division_digest = 0;
  ConfigurationVersion division;

  friend bool operator==(const ConfigurationPush&,
                         const ConfigurationPush&) = default;
};

// Asks for a chunk of the peer's replayed state, to start or to catch up
// without the log. `state_offset` is 0 for the newest state; later requests
// name the state that the first chunk belongs to.
struct StateRequest {
  Offset state_offset;
  uint32_t index = 0;

  friend bool operator==(const StateRequest&, const StateRequest&) = default;
};

// Part of a snapshot; `count` is 0 when the peer has no such state any more.
struct StateChunk {
  Offset state_offset;
  uint32_t index = 0;
  uint32_t count = 0;
  uint64_t checksum = 0;  // Of the whole snapshot.
  // Age of the peer's last read of the tail, when it answered. The asker counts
  // it back from when it asked.
  int64_t tail_read_age_milliseconds = 0;
  std::string bytes;

  friend bool operator==(const StateChunk&, const StateChunk&) = default;
};

// Workers that the sender has heard since its last heartbeat and whose home the
// receiver is: they can't reach their home.
struct WorkersHeard {
  std::vector<WorkerKey> workers;

  friend bool operator==(const WorkersHeard&, const WorkersHeard&) = default;
};

// --- Between an entry and a guard ---

struct GuardHello {
  uint32_t protocol_version = kProtocolVersion;
  WorkerKey worker;
  std::string address;  // "ip:port" of the backend server beside the guard.

  friend bool operator==(const GuardHello&, const GuardHello&) = default;
};

// Use by an attempt since the last report.
struct AttemptUse {
  TaskId task;
  Attempt attempt;
  Resources enforced;  // The grant enforced at the moment.
  Resources used;

  friend bool operator==(const AttemptUse&, const AttemptUse&) = default;
};

// The guard asks for a renewal and says what runs; like a worker's heartbeat.
struct GuardReport {
  WorkerKey worker;
  uint64_t sequence = 0;  // Grows with each report of an incarnation.
  std::vector<AttemptUse> attempts;

  friend bool operator==(const GuardReport&, const GuardReport&) = default;
};

struct GuardGrant {
  TaskId task;
  Attempt attempt;
  FencingToken token;
  Resources grant;

  friend bool operator==(const GuardGrant&, const GuardGrant&) = default;
};

// A non-idempotent request that only the named entry may send to the backend
// server, once.
struct ClaimedKey {
  CustomerId customer;
  ServiceId service;
  IdempotencyKey key;
  MemberKey claimant;

  friend bool operator==(const ClaimedKey&, const ClaimedKey&) = default;
};

// The answer to a GuardReport: all grants, and the keys claimed since the
// last answer.
struct GuardGrants {
  WorkerKey worker;
  uint64_t sequence = 0;             // Of the report that is answered.
  int64_t renewal_milliseconds = 0;  // From the sending of the report; 0: none.
  Offset state_offset;
  std::vector<GuardGrant> grants;
  std::vector<ClaimedKey> keys;

  friend bool operator==(const GuardGrants&, const GuardGrants&) = default;
};

// The position of an alternative is its number on the wire: add only at the
// end, never remove or reorder.
using Message = std::variant<PeerHello,
                             PeerChallenge,
                             PeerProof,
                             PeerHeartbeat,
                             lease::FreezeRequest,
                             lease::FreezeAnswer,
                             lease::JoinerNotice,
                             lease::JoinerAcknowledgement,
                             ConfigurationPush,
                             StateRequest,
                             StateChunk,
                             GuardHello,
                             GuardReport,
                             GuardGrants,
                             membership::SlotLoanRequest,
                             membership::SlotLoan,
                             membership::SlotLoanReturn,
                             WorkersHeard>;

}  // namespace papayadrift::peer_protocol

#endif  // PAPAYADRIFT_PEER_PROTOCOL_MESSAGES_H_
