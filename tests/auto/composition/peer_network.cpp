#include "composition/peer_network.h"

#include <algorithm>
#include <utility>

namespace papayadrift::test {

using entry::ChannelId;

namespace {

constexpr uint32_t kMaximumDelayMicroseconds = 4'000;
constexpr milliseconds kDialPause(100);
constexpr milliseconds kBreakDelay(400);

}  // namespace

PeerNetwork::PeerNetwork(routing::SimulatedClock& timeline,
                         const Links& links,
                         uint64_t seed)
    : timeline_(timeline), links_(links), random_(seed) {}

std::unique_ptr<NetworkTransport> PeerNetwork::MakeTransport(
    const std::string& process,
    const std::string& address,
    std::shared_ptr<ProcessRunner> runner) {
  return std::make_unique<NetworkTransport>(*this, process, address,
                                            std::move(runner));
}

microseconds PeerNetwork::Delay() {
  return microseconds(100 + random_(kMaximumDelayMicroseconds));
}

void PeerNetwork::Dial(NetworkTransport& from, const std::string& address) {
  timeline_.At(timeline_.now() + Delay(), [this, &from, address] {
    const auto it = listening_.find(address);
    if (it == listening_.end() || from.runner_->is_stopped() ||
        from.dialed_.contains(address) || IsCut(from, *it->second)) {
      return;
    }
    NetworkTransport& to = *it->second;
    const ChannelId near(++last_channel_);
    const ChannelId far(++last_channel_);
    ends_[near] = {&from, far, timeline_.now()};
    ends_[far] = {&to, near, timeline_.now()};
    from.dialed_[address] = near;
    from.runner_->Post([&from, near] { from.listener_->OnOpened(near, true); });
    to.runner_->Post([&to, far] { to.listener_->OnOpened(far, false); });
  });
}

void PeerNetwork::Send(ChannelId from, const std::string& bytes) {
  const auto it = ends_.find(from);
  if (it == ends_.end()) {
    return;
  }
  const ChannelId to = it->second.other;
  End& end = ends_.at(to);
  if (IsCut(*it->second.owner, *end.owner)) {
    timeline_.At(timeline_.now() + kBreakDelay, [this, from] { Break(from); });
    return;
  }
  end.free_at = std::max(end.free_at, timeline_.now() + Delay());
  end.owner->runner_->PostAt(end.free_at, [this, to, bytes] {
    const auto receiver = ends_.find(to);
    if (receiver != ends_.end()) {
      receiver->second.owner->listener_->OnMessage(to, bytes);
    }
  });
}

void PeerNetwork::Break(ChannelId channel) {
  const auto it = ends_.find(channel);
  if (it == ends_.end()) {
    return;
  }
  for (const ChannelId id : {it->second.other, channel}) {
    NetworkTransport* owner = ends_.at(id).owner;
    ends_.erase(id);
    std::erase_if(owner->dialed_,
                  [&](const auto& dialed) { return dialed.second == id; });
    owner->runner_->Post([owner, id] { owner->listener_->OnClosed(id); });
  }
}

bool PeerNetwork::IsCut(const NetworkTransport& one,
                        const NetworkTransport& other) const {
  return links_.IsCut(one.process_, other.process_);
}

NetworkTransport::NetworkTransport(PeerNetwork& network,
                                   std::string process,
                                   std::string address,
                                   std::shared_ptr<ProcessRunner> runner)
    : network_(network),
      process_(std::move(process)),
      address_(std::move(address)),
      runner_(std::move(runner)) {}

void NetworkTransport::Listen(entry::PeerTransportListener& listener) {
  listener_ = &listener;
  network_.listening_[address_] = this;
}

void NetworkTransport::Shut() {
  network_.listening_.erase(address_);
  std::vector<ChannelId> own;
  for (const auto& [id, end] : network_.ends_) {
    if (end.owner == this) {
      own.push_back(id);
    }
  }
  for (const ChannelId id : own) {
    network_.Break(id);
  }
}

void NetworkTransport::SetAddresses(const std::vector<std::string>& addresses) {
  const Instant now = network_.timeline_.now();
  std::vector<ChannelId> unwanted;
  for (const auto& [address, channel] : dialed_) {
    if (std::ranges::find(addresses, address) == addresses.end()) {
      unwanted.push_back(channel);
    }
  }
  std::ranges::for_each(unwanted, [this](ChannelId id) { Close(id); });
  for (const std::string& address : addresses) {
    Instant& dial_at = dial_at_[address];
    if (!dialed_.contains(address) && now >= dial_at) {
      dial_at = now + kDialPause;
      network_.Dial(*this, address);
    }
  }
}

void NetworkTransport::Send(ChannelId channel, const std::string& bytes) {
  network_.Send(channel, bytes);
}

void NetworkTransport::Close(ChannelId channel) {
  network_.Break(channel);
}

}  // namespace papayadrift::test
