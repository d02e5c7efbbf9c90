#include "lease/subjects.h"

#include <algorithm>

namespace papayadrift::lease {

std::vector<MemberKey> LivePeers(const std::vector<Member>& members,
                                 const MemberKey& self) {
  std::vector<MemberKey> peers;
  for (const Member& member : members) {
    if (!member.is_lapsed && member.key != self) {
      peers.push_back(member.key);
    }
  }
  return peers;
}

bool IsReplaced(const std::vector<Member>& members, const Member& member) {
  return std::ranges::any_of(members, [&](const Member& other) {
    return other.address == member.address &&
           other.joined_at > member.joined_at;
  });
}

bool IsLiveMember(const std::vector<Member>& members, const MemberKey& self) {
  return std::ranges::any_of(members, [&](const Member& member) {
    return member.key == self && !member.is_lapsed;
  });
}

}  // namespace papayadrift::lease
