#ifndef PAPAYADRIFT_LEASE_SUBJECTS_H_
#define PAPAYADRIFT_LEASE_SUBJECTS_H_

// Whom the lease rule is about: one life of an entry or of a worker.

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/identifiers.h"

namespace papayadrift::lease {

// One life of an entry.
struct MemberKey {
  EntryId entry;
  Incarnation incarnation;

  friend auto operator<=>(const MemberKey&, const MemberKey&) = default;
};

// One life of a worker.
struct WorkerKey {
  WorkerId worker;
  Incarnation incarnation;

  friend auto operator<=>(const WorkerKey&, const WorkerKey&) = default;
};

// Whom a lapse is about.
using LapseSubject = std::variant<WorkerKey, MemberKey>;

// A member of the region as replay has it. One that left or is retired is no
// member.
struct Member {
  MemberKey key;
  bool is_lapsed = false;
  Offset joined_at;     // Offset of its EntryJoined.
  std::string address;  // "ip:port" that it listens on for peers.

  friend bool operator==(const Member&, const Member&) = default;
};

// What an entry has replayed.
struct ReplayedMembers {
  Offset applied;      // Offset up to which the log has been replayed.
  Offset last_change;  // Last accepted change of members, or lapse, in it.
  std::vector<Member> members;

  friend bool operator==(const ReplayedMembers&,
                         const ReplayedMembers&) = default;
};

// A joiner tells a peer that may be cut off from the log of its join.
struct JoinerNotice {
  MemberKey joiner;
  Offset joined_at;

  friend auto operator<=>(const JoinerNotice&, const JoinerNotice&) = default;
};

// A member answers that it knows the joiner from now on.
struct JoinerAcknowledgement {
  MemberKey member;
  MemberKey joiner;
  bool is_full = false;  // Whether the member is full itself.

  friend bool operator==(const JoinerAcknowledgement&,
                         const JoinerAcknowledgement&) = default;
};

// How many subjects a promise excludes at most: a rack of workers, say.
inline constexpr uint32_t kMaximumExclusions = 64;

// An entry asks a peer to append no lapse for a while.
struct FreezeRequest {
  static constexpr size_t kRequiredFields = 4;

  MemberKey requester;
  uint64_t sequence = 0;  // Grows with each request of the asker.
  Offset applied;
  // Joiners that the asker knows of by their notice only.
  std::vector<JoinerNotice> announced_joiners;
  // How many subjects the answer may exclude. None by default: an asker that
  // knows of no exclusions would take any promise for a whole one.
  uint32_t most_exclusions = 0;

  friend bool operator==(const FreezeRequest&, const FreezeRequest&) = default;
};

enum class FreezeRefusal {
  kRequesterBehind,  // The asker lacks a change that the peer knows: let it
                     // catch up, from the peer's state if the log is down.
  kLapsePending,     // The peer has authored the asker's lapse, or more lapses
                     // than it can exclude, which may yet take effect.
  kLapseWanted,      // The peer is going to author a lapse.
};

// The answer to a FreezeRequest: a promise, unless it carries a refusal.
struct FreezeAnswer {
  static constexpr size_t kRequiredFields = 3;

  MemberKey responder;
  uint64_t sequence = 0;  // Of the request.
  std::optional<FreezeRefusal> refusal;
  // Whom the promise says nothing of: lapses of them that the giver authored
  // earlier may yet take effect.
  std::set<LapseSubject> excluded;

  friend bool operator==(const FreezeAnswer&, const FreezeAnswer&) = default;
};

// Returns the members of `members` that are not lapsed, without `self`.
std::vector<MemberKey> LivePeers(const std::vector<Member>& members,
                                 const MemberKey& self);

// Returns whether a later member listens on the address of `member`. Then
// `member` runs no more: an IP number belongs to one VM at a time, and a port
// to one process, so that it can neither renew a lease nor promise.
bool IsReplaced(const std::vector<Member>& members, const Member& member);

// Returns whether `self` is a member that is not lapsed.
bool IsLiveMember(const std::vector<Member>& members, const MemberKey& self);

}  // namespace papayadrift::lease

#endif  // PAPAYADRIFT_LEASE_SUBJECTS_H_
