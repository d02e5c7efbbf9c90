#ifndef PAPAYADRIFT_MEMBERSHIP_MEMBERSHIP_VIEW_H_
#define PAPAYADRIFT_MEMBERSHIP_MEMBERSHIP_VIEW_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/identifiers.h"
#include "base/instant.h"
#include "lease/subjects.h"
#include "membership/arrival_watch.h"

namespace papayadrift::membership {

using lease::Member;
using lease::MemberKey;

struct MembershipSettings {
  SuspicionSettings suspicion;
  // How long a peer is suspected before its lapse is proposed by an entry
  // that hears at least half of the members.
  milliseconds lapse_after{3000};
  // The same for an entry that hears fewer. Were the others alive, they would
  // have lapsed this entry meanwhile.
  milliseconds isolated_lapse_after{20000};
  // Where to look for peers at first: "ip:port" each.
  std::vector<std::string> first_addresses;

  friend bool operator==(const MembershipSettings&,
                         const MembershipSettings&) = default;
};

// What a heartbeat of a peer says.
struct PeerReport {
  MemberKey key;
  std::string address;  // "ip:port" that it listens on for peers.
  ConfigurationVersion configuration;
  Offset applied;       // Of the decision stream.
  uint64_t digest = 0;  // Of its state at `digest_offset`.
  Offset digest_offset;

  friend bool operator==(const PeerReport&, const PeerReport&) = default;
};

// What is known of a peer, for status pages.
struct PeerStatus {
  MemberKey key;
  std::optional<PeerReport> report;  // The newest one, if any came.
  std::optional<Instant> last_heard;
  bool is_member = false;  // In the log, and not lapsed.
  bool is_suspected = false;

  friend bool operator==(const PeerStatus&, const PeerStatus&) = default;
};

// What an entry knows of the entries of its region: from settings, from the
// log and from heartbeats. The log alone says who is a member; heartbeats say
// who is alive.
class MembershipView {
 public:
  MembershipView(MemberKey self,
                 std::string own_address,
                 MembershipSettings settings);

  // Replay has moved on; `members` are all that neither left nor are retired.
  void OnReplayed(const std::vector<Member>& members, Instant now);
  void OnHeartbeat(const PeerReport& report, Instant now);
  void OnTime(Instant now);

  // Addresses of all peers worth a connection, in order, without duplicates.
  std::vector<std::string> AddressesToDial() const;
  // Members that are not lapsed and not suspected, with this entry if it is a
  // member, in order.
  std::vector<MemberKey> LiveMembers() const;
  // Whether this is the entry itself, or one that was not silent for long
  // enough, since this entry watches it, to be suspected.
  bool IsHeard(const MemberKey& key) const;
  // Members whose lapse this entry should propose at `now`, in order.
  std::vector<MemberKey> ProposedLapses(Instant now) const;
  // The live member that is the home of a worker; nothing if there is none.
  std::optional<MemberKey> HomeOf(const WorkerId& worker) const;
  std::vector<PeerStatus> Statuses() const;

 private:
  struct Peer {
    std::optional<PeerReport> report;
    std::optional<ArrivalWatch> watch;  // Of members and peers heard.
  };

  bool IsSuspected(const MemberKey& key) const;
  bool IsReplaced(const Member& member) const;
  bool HearsHalf() const;
  Peer& Watch(const MemberKey& key, Instant now);

  const MemberKey self_;
  const std::string own_address_;
  const MembershipSettings settings_;
  std::vector<Member> members_;
  std::map<MemberKey, Peer> peers_;
};

}  // namespace papayadrift::membership

#endif  // PAPAYADRIFT_MEMBERSHIP_MEMBERSHIP_VIEW_H_
