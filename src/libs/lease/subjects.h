#ifndef PAPAYADRIFT_LEASE_SUBJECTS_H_
#define PAPAYADRIFT_LEASE_SUBJECTS_H_

// The subjects of the lease rule: incarnations of entries and workers.

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/identifiers.h"

namespace papayadrift::lease {

// An incarnation of an entry.
struct MemberKey {
  EntryId entry;
  Incarnation incarnation;

  friend auto operator<=>(const MemberKey&, const MemberKey&) = default;
};

// An incarnation of a worker.
struct WorkerKey {
  WorkerId worker;
  Incarnation incarnation;

  friend auto operator<=>(const WorkerKey&, const WorkerKey&) = default;
};

// The subject of a lapse.
using LapseSubject = std::variant<WorkerKey, MemberKey>;

// A member of the region according to replay. Entries that have left or are
// retired are not members.
struct Member {
  MemberKey key;
  bool is_lapsed = false;
  Offset joined_at;     // Offset of its EntryJoined.
  std::string address;  // "ip:port" that it listens on for peers.

  friend bool operator==(const Member&, const Member&) = default;
};

// The membership that an entry has replayed.
struct ReplayedMembers {
  Offset applied;      // Offset up to which the log has been replayed.
  Offset last_change;  // Last accepted membership change or lapse in it.
  std::vector<Member> members;

  friend bool operator==(const ReplayedMembers&,
                         const ReplayedMembers&) = default;
};

// Announces a joiner to a peer that may be unable to read the record of the
// join from the log.
struct JoinerNotice {
  MemberKey joiner;
  Offset joined_at;

  friend auto operator<=>(const JoinerNotice&, const JoinerNotice&) = default;
};

// Confirms that a member knows the joiner from now on.
struct JoinerAcknowledgement {
  MemberKey member;
  MemberKey joiner;
  bool is_full = false;  // Whether the member is a full member itself.

  friend bool operator==(const JoinerAcknowledgement&,
                         const JoinerAcknowledgement&) = default;
};

// Maximum number of subjects that a promise excludes, enough for example for a
// rack of workers.
inline constexpr uint32_t kMaximumExclusions = 64;

// Requests a promise from a peer to append no lapse for a time.
struct FreezeRequest {
  static constexpr size_t kRequiredFields = 4;

  MemberKey requester;
  uint64_t sequence = 0;  // Increases with each request of the requester.
  Offset applied;
  // Joiners that the requester knows only from their notices.
  std::vector<JoinerNotice> announced_joiners;
  // Maximum number of subjects that the answer may exclude. None by default: a
  // requester that does not support exclusions would treat every promise as one
  // without exclusions.
  uint32_t most_exclusions = 0;

  friend bool operator==(const FreezeRequest&, const FreezeRequest&) = default;
};

enum class FreezeRefusal {
  kRequesterBehind,  // The requester lacks a change that the peer knows. It
                     // must catch up, from the peer's state if the log is down.
  kLapsePending,  // The peer has authored the requester's lapse, or more lapses
                  // than it can exclude, which may still take effect.
  kLapseWanted,   // The peer is about to author a lapse.
};

// The answer to a FreezeRequest: a promise, or a refusal if `refusal` is set.
struct FreezeAnswer {
  static constexpr size_t kRequiredFields = 3;

  MemberKey responder;
  uint64_t sequence = 0;  // Of the request.
  std::optional<FreezeRefusal> refusal;
  // Subjects that the promise does not cover: lapses of them that the responder
  // authored earlier may still take effect.
  std::set<LapseSubject> excluded;

  friend bool operator==(const FreezeAnswer&, const FreezeAnswer&) = default;
};

// Returns the keys of the members that are not lapsed, without `self`.
std::vector<MemberKey> LivePeers(const std::vector<Member>& members,
                                 const MemberKey& self);

// Returns whether a later member listens on the address of `member`. Then
// `member` no longer runs, because an IP address belongs to one VM at a time
// and a port to one process: it can neither renew a lease nor give a promise.
bool IsReplaced(const std::vector<Member>& members, const Member& member);

// Returns whether `self` is a member that is not lapsed.
bool IsLiveMember(const std::vector<Member>& members, const MemberKey& self);

}  // namespace papayadrift::lease

#endif  // PAPAYADRIFT_LEASE_SUBJECTS_H_
