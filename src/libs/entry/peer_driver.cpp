#include "entry/peer_driver.h"

#include <algorithm>
#include <utility>

#include "peer_protocol/codec.h"
#include "replay/snapshot_chunks.h"

namespace papayadrift::entry {

using peer_protocol::Message;
using peer_protocol::StateChunk;
using peer_protocol::StateRequest;

namespace {

constexpr seconds kFetchTimeout(5);
constexpr seconds kHandingTime(20);
// A worker that turns to another entry has spent most of its home's patience.
constexpr milliseconds kTellPeriod(50);
constexpr size_t kStateChunkBytes = size_t{64} * 1024;

}  // namespace

// Takes messages of one channel. Before it is trusted, only the handshake's.
struct PeerDriver::Taker {
  PeerDriver& driver;
  ChannelId channel;

  void operator()(const peer_protocol::PeerHello& hello) const {
    auto* handshake = HandshakeOf<peer_protocol::ListenerHandshake>();
    const auto challenge = handshake ? handshake->OnHello(hello) : std::nullopt;
    if (!challenge) {
      driver.transport_.Close(channel);
      return;
    }
    driver.Send(channel, *challenge);
  }
  void operator()(const peer_protocol::PeerChallenge& challenge) const {
    auto* handshake = HandshakeOf<peer_protocol::DialerHandshake>();
    const auto proof =
        handshake ? handshake->OnChallenge(challenge) : std::nullopt;
    if (!proof) {
      driver.transport_.Close(channel);
      return;
    }
    driver.Send(channel, *proof);
    driver.Trust(channel, *handshake->peer());
  }
  void operator()(const peer_protocol::PeerProof& proof) const {
    auto* handshake = HandshakeOf<peer_protocol::ListenerHandshake>();
    if (handshake != nullptr) {
      handshake->OnProof(proof);
    }
    if (handshake == nullptr || !handshake->peer()) {
      driver.transport_.Close(channel);
      return;
    }
    driver.Trust(channel, *handshake->peer());
  }
  void operator()(const peer_protocol::PeerHeartbeat& heartbeat) const {
    driver.view_.OnHeartbeat(
        {heartbeat.key, heartbeat.address, heartbeat.configuration,
         heartbeat.applied, heartbeat.digest, heartbeat.digest_offset},
        driver.clock_.Now());
    driver.CompareDigest(heartbeat);
    const ConfigurationInForce& own = driver.configuration_.in_force();
    if (heartbeat.configuration < own.version) {
      driver.Send(channel,
                  peer_protocol::ConfigurationPush{
                      own.version, own.author, own.text, own.home_regions,
                      own.division_digest, own.division});
    }
  }
  void operator()(const lease::FreezeRequest& request) const {
    driver.Send(channel,
                driver.promises_.OnRequest(request, driver.clock_.Now()));
  }
  void operator()(const lease::FreezeAnswer& answer) const {
    driver.renewer_.OnAnswer(answer);
  }
  void operator()(const lease::JoinerNotice& notice) const {
    driver.renewer_.OnNotice(notice);
    driver.Send(channel,
                driver.promises_.OnNotice(notice, driver.clock_.Now()));
  }
  void operator()(const lease::JoinerAcknowledgement& acknowledgement) const {
    driver.promises_.OnAcknowledged(acknowledgement, driver.clock_.Now());
  }
  void operator()(const peer_protocol::ConfigurationPush& push) const {
    // Known from a peer, but not at which place of the stream.
    driver.configuration_.Adopt(
        {push.version, push.author, push.text, push.home_regions,
         push.division_digest, push.division},
        Offset());
  }
  void operator()(const peer_protocol::WorkersHeard& heard) const {
    for (const lease::WorkerKey& key : heard.workers) {
      driver.workers_.NoteHeardElsewhere({key.worker, key.incarnation});
    }
  }
  void operator()(const StateRequest& request) const {
    driver.Send(channel, driver.ChunkFor(request));
  }
  void operator()(const StateChunk& chunk) const {
    driver.TakeChunk(channel, chunk);
  }
  // A peer speaks of loans for itself only.
  void operator()(const membership::SlotLoanRequest& request) const {
    if (driver.PeerOf(channel) == request.borrower) {
      driver.loans_.OnRequest(request);
    }
  }
  void operator()(const membership::SlotLoan& loan) const {
    if (driver.PeerOf(channel) == loan.lender) {
      driver.loans_.OnLoan(loan);
    }
  }
  void operator()(const membership::SlotLoanReturn& message) const {
    if (driver.PeerOf(channel) == message.borrower) {
      driver.loans_.OnReturn(message);
    }
  }
  template <typename T>
  void operator()(const T&) const {}

 private:
  template <typename Side>
  Side* HandshakeOf() const {
    const auto it = driver.handshakes_.find(channel);
    return it == driver.handshakes_.end() ? nullptr
                                          : std::get_if<Side>(&it->second);
  }
};

PeerDriver::PeerDriver(PeerDriverSettings settings,
                       const peer_protocol::SharedKey& key,
                       PeerTransport& transport,
                       DecisionStream& decisions,
                       ConfigurationStream& configuration,
                       lease::Renewer& renewer,
                       lease::FreezePromises& promises,
                       membership::MembershipView& view,
                       WorkerDesk& workers,
                       LoanDriver& loans,
                       const Clock& clock)
    : settings_(std::move(settings)),
      key_(key),
      transport_(transport),
      decisions_(decisions),
      configuration_(configuration),
      renewer_(renewer),
      promises_(promises),
      view_(view),
      workers_(workers),
      loans_(loans),
      clock_(clock),
      heartbeat_at_(clock.Now()),
      told_at_(clock.Now()),
      ask_at_(clock.Now()) {}

void PeerDriver::OnTime() {
  transport_.SetAddresses(view_.AddressesToDial());
  view_.OnTime(clock_.Now());
  SendHeartbeats();
  TellHomes();
  AskForPromises();
  FetchState();
  if (handing_ && clock_.Now() >= handing_->drop_at) {
    handing_.reset();
  }
}

void PeerDriver::OnOpened(ChannelId channel, bool is_dialed) {
  if (!is_dialed) {
    handshakes_.emplace(channel,
                        peer_protocol::ListenerHandshake(Identity(), key_));
    return;
  }
  peer_protocol::DialerHandshake handshake(Identity(), key_);
  const peer_protocol::PeerHello hello = handshake.Hello();
  handshakes_.emplace(channel, std::move(handshake));
  Send(channel, hello);
}

void PeerDriver::OnMessage(ChannelId channel, const std::string& bytes) {
  const std::optional<Message> message = peer_protocol::Decode(bytes);
  if (!message) {
    transport_.Close(channel);
    return;
  }
  const bool is_handshake =
      std::holds_alternative<peer_protocol::PeerHello>(*message) ||
      std::holds_alternative<peer_protocol::PeerChallenge>(*message) ||
      std::holds_alternative<peer_protocol::PeerProof>(*message);
  if (!is_handshake && !trusted_.contains(channel)) {
    transport_.Close(channel);
    return;
  }
  std::visit(Taker{*this, channel}, *message);
}

void PeerDriver::OnClosed(ChannelId channel) {
  handshakes_.erase(channel);
  const auto it = trusted_.find(channel);
  if (it == trusted_.end()) {
    return;
  }
  const auto current = channel_of_.find(it->second);
  if (current != channel_of_.end() && current->second == channel) {
    channel_of_.erase(current);
  }
  trusted_.erase(it);
}

bool PeerDriver::SendTo(const lease::MemberKey& peer, const Message& message) {
  const auto it = channel_of_.find(peer);
  if (it == channel_of_.end()) {
    return false;
  }
  Send(it->second, message);
  return true;
}

bool PeerDriver::IsConnectedTo(const lease::MemberKey& peer) const {
  return channel_of_.contains(peer);
}

void PeerDriver::Send(ChannelId channel, const Message& message) {
  transport_.Send(channel, peer_protocol::Encode(message));
}

void PeerDriver::Broadcast(const Message& message) {
  const std::string bytes = peer_protocol::Encode(message);
  for (const auto& [peer, channel] : channel_of_) {
    transport_.Send(channel, bytes);
  }
}

void PeerDriver::Trust(ChannelId channel, const lease::MemberKey& peer) {
  trusted_[channel] = peer;
  channel_of_[peer] = channel;
}

std::optional<lease::MemberKey> PeerDriver::PeerOf(ChannelId channel) const {
  const auto it = trusted_.find(channel);
  if (it == trusted_.end()) {
    return std::nullopt;
  }
  return it->second;
}

peer_protocol::HandshakeIdentity PeerDriver::Identity() const {
  return {settings_.self, settings_.stream_address, peer_protocol::MakeNonce()};
}

void PeerDriver::SendHeartbeats() {
  if (clock_.Now() < heartbeat_at_) {
    return;
  }
  heartbeat_at_ = clock_.Now() + settings_.heartbeat_period;
  peer_protocol::PeerHeartbeat heartbeat;
  heartbeat.key = settings_.self;
  heartbeat.address = settings_.stream_address;
  heartbeat.configuration = configuration_.in_force().version;
  heartbeat.applied = decisions_.state().next_offset();
  const auto& points = decisions_.state().digest_points();
  if (!points.empty()) {
    heartbeat.digest_offset = points.back().next_offset;
    heartbeat.digest = points.back().digest;
  }
  Broadcast(heartbeat);
  if (const auto notice = promises_.OwnNotice()) {
    Broadcast(*notice);
  }
}

void PeerDriver::TellHomes() {
  if (clock_.Now() < told_at_ + kTellPeriod) {
    return;
  }
  const Instant since = std::exchange(told_at_, clock_.Now());
  std::map<lease::MemberKey, peer_protocol::WorkersHeard> heard;
  for (const replay::WorkerKey& key : workers_.HeardSince(since)) {
    const std::optional<lease::MemberKey> home = view_.HomeOf(key.worker);
    if (home && channel_of_.contains(*home)) {
      heard[*home].workers.push_back({key.worker, key.incarnation});
    }
  }
  for (const auto& [home, message] : heard) {
    Send(channel_of_.at(home), message);
  }
}

void PeerDriver::AskForPromises() {
  const Instant now = clock_.Now();
  const std::optional<Instant> tail_read = renewer_.last_tail_read();
  const bool is_tail_fresh =
      tail_read && now < *tail_read + settings_.lease.tail_freshness / 2;
  if (now < ask_at_ || is_tail_fresh || channel_of_.empty()) {
    return;
  }
  ask_at_ = now + settings_.lease.promise_period;
  Broadcast(renewer_.CreateRequest(now));
}

void PeerDriver::FetchState() {
  const Instant now = clock_.Now();
  if (fetching_ && now < fetching_->give_up_at) {
    return;
  }
  fetching_.reset();
  if (channel_of_.empty() || !decisions_.needs_peer_state()) {
    return;
  }
  const auto& [peer, channel] = *channel_of_.begin();
  fetching_ = Fetching{peer, Offset(), 0, 0, "", now + kFetchTimeout};
  Send(channel, StateRequest());
}

void PeerDriver::CompareDigest(const peer_protocol::PeerHeartbeat& heartbeat) {
  const auto& points = decisions_.state().digest_points();
  const auto it = std::ranges::find(points, heartbeat.digest_offset,
                                    &replay::DigestPoint::next_offset);
  if (it != points.end() && it->digest != heartbeat.digest) {
    has_diverged_ = true;
  }
}

StateChunk PeerDriver::ChunkFor(const StateRequest& request) {
  const Instant now = clock_.Now();
  if (request.state_offset == Offset() && decisions_.has_caught_up()) {
    handing_ = Handing{decisions_.state().next_offset(), 0,
                       decisions_.state().Snapshot(), now + kHandingTime};
    handing_->checksum = replay::SnapshotChecksum(handing_->bytes);
  }
  StateChunk chunk;
  const bool is_known =
      handing_ && (request.state_offset == Offset() ||
                   request.state_offset == handing_->state_offset);
  const size_t begin = size_t{request.index} * kStateChunkBytes;
  if (!is_known || begin >= handing_->bytes.size()) {
    return chunk;
  }
  chunk.state_offset = handing_->state_offset;
  chunk.index = request.index;
  chunk.count = static_cast<uint32_t>(
      (handing_->bytes.size() + kStateChunkBytes - 1) / kStateChunkBytes);
  chunk.checksum = handing_->checksum;
  chunk.bytes = handing_->bytes.substr(begin, kStateChunkBytes);
  if (const auto tail_read = renewer_.last_tail_read()) {
    chunk.tail_read_age_milliseconds =
        std::chrono::ceil<milliseconds>(now - *tail_read).count();
  }
  return chunk;
}

void PeerDriver::TakeChunk(ChannelId channel, const StateChunk& chunk) {
  const uint32_t expected =
      fetching_
          ? static_cast<uint32_t>(fetching_->bytes.size() / kStateChunkBytes)
          : 0;
  const bool is_first = expected == 0;
  if (!fetching_ || PeerOf(channel) != fetching_->peer || chunk.count == 0 ||
      chunk.index != expected ||
      (!is_first && chunk.state_offset != fetching_->state_offset)) {
    return;
  }
  fetching_->state_offset = chunk.state_offset;
  fetching_->count = chunk.count;
  fetching_->checksum = chunk.checksum;
  fetching_->bytes += chunk.bytes;
  if (chunk.index + 1 < chunk.count) {
    Send(channel, StateRequest{chunk.state_offset, chunk.index + 1});
    return;
  }
  const Fetching whole = *std::exchange(fetching_, std::nullopt);
  if (replay::SnapshotChecksum(whole.bytes) == whole.checksum) {
    decisions_.Adopt(whole.bytes);
  }
}

}  // namespace papayadrift::entry
