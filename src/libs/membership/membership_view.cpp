#include "membership/membership_view.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace papayadrift::membership {
namespace {

// Peers heard that the log does not know, beyond which new ones are ignored.
constexpr size_t kMaximumPeers = 1024;

}  // namespace

MembershipView::MembershipView(MemberKey self,
                               std::string own_address,
                               MembershipSettings settings)
    : self_(std::move(self)),
      own_address_(std::move(own_address)),
      settings_(std::move(settings)) {}

void MembershipView::OnReplayed(const std::vector<Member>& members,
                                Instant now) {
  std::erase_if(peers_, [&](const auto& peer) {
    const auto& key = peer.first;
    return std::ranges::count(members_, key, &Member::key) > 0 &&
           std::ranges::count(members, key, &Member::key) == 0;
  });
  members_ = members;
  for (const Member& member : members_) {
    if (member.key != self_) {
      Watch(member.key, now);
    }
  }
}

void MembershipView::OnHeartbeat(const PeerReport& report, Instant now) {
  const bool is_new = !peers_.contains(report.key);
  if (report.key == self_ || (is_new && peers_.size() >= kMaximumPeers)) {
    return;
  }
  Peer& peer = Watch(report.key, now);
  peer.report = report;
  peer.watch->OnArrival(now);
}

void MembershipView::OnTime(Instant now) {
  for (auto& [key, peer] : peers_) {
    peer.watch->OnTime(now);
  }
  // A peer unknown to the log is forgotten once it falls silent.
  std::erase_if(peers_, [&](const auto& peer) {
    return peer.second.watch->is_suspected() &&
           std::ranges::count(members_, peer.first, &Member::key) == 0;
  });
}

std::vector<std::string> MembershipView::AddressesToDial() const {
  std::set<std::string> addresses(settings_.first_addresses.begin(),
                                  settings_.first_addresses.end());
  for (const Member& member : members_) {
    addresses.insert(member.address);
  }
  for (const auto& [key, peer] : peers_) {
    if (peer.report) {
      addresses.insert(peer.report->address);
    }
  }
  addresses.erase(own_address_);
  addresses.erase("");
  return {addresses.begin(), addresses.end()};
}

std::vector<MemberKey> MembershipView::LiveMembers() const {
  std::vector<MemberKey> live;
  for (const Member& member : members_) {
    if (!member.is_lapsed && !IsSuspected(member.key) && !IsReplaced(member)) {
      live.push_back(member.key);
    }
  }
  std::ranges::sort(live);
  return live;
}

bool MembershipView::IsHeard(const MemberKey& key) const {
  return key == self_ || !IsSuspected(key);
}

std::vector<MemberKey> MembershipView::ProposedLapses(Instant now) const {
  if (!lease::IsLiveMember(members_, self_)) {
    return {};
  }
  const milliseconds patience =
      HearsHalf() ? settings_.lapse_after : settings_.isolated_lapse_after;
  std::vector<MemberKey> proposed;
  for (const Member& member : members_) {
    if (member.is_lapsed || member.key == self_) {
      continue;
    }
    const auto since = peers_.at(member.key).watch->suspected_at();
    if (IsReplaced(member) || (since && now - *since >= patience)) {
      proposed.push_back(member.key);
    }
  }
  std::ranges::sort(proposed);
  return proposed;
}

std::optional<MemberKey> MembershipView::HomeOf(const WorkerId& worker) const {
  const std::vector<MemberKey> live = LiveMembers();
  const auto home =
      std::ranges::max_element(live, {}, [&](const MemberKey& key) {
        return RendezvousWeight(worker.text(), key.entry.text());
      });
  return home == live.end() ? std::nullopt : std::optional(*home);
}

std::vector<PeerStatus> MembershipView::Statuses() const {
  std::vector<PeerStatus> statuses;
  for (const auto& [key, peer] : peers_) {
    const auto heard =
        peer.report ? std::optional(peer.watch->last_heard()) : std::nullopt;
    statuses.push_back({key, peer.report, heard,
                        lease::IsLiveMember(members_, key),
                        peer.watch->is_suspected()});
  }
  return statuses;
}

bool MembershipView::IsSuspected(const MemberKey& key) const {
  const auto it = peers_.find(key);
  return it != peers_.end() && it->second.watch->is_suspected();
}

// By a later member in the log, or by a later life heard at its address.
bool MembershipView::IsReplaced(const Member& member) const {
  const bool is_heard_anew = std::ranges::any_of(peers_, [&](const auto& peer) {
    return peer.second.report &&
           peer.second.report->address == member.address &&
           peer.first.entry == member.key.entry &&
           peer.first.incarnation > member.key.incarnation;
  });
  return is_heard_anew || lease::IsReplaced(members_, member);
}

bool MembershipView::HearsHalf() const {
  const auto live = std::ranges::count(members_, false, &Member::is_lapsed);
  return 2 * LiveMembers().size() >= static_cast<size_t>(live);
}

MembershipView::Peer& MembershipView::Watch(const MemberKey& key, Instant now) {
  Peer& peer = peers_[key];
  if (!peer.watch) {
    peer.watch.emplace(settings_.suspicion, now);
  }
  return peer;
}

}  // namespace papayadrift::membership
