#ifndef PAPAYADRIFT_ENTRY_PEER_DRIVER_H_
#define PAPAYADRIFT_ENTRY_PEER_DRIVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "base/clock.h"
#include "entry/configuration_stream.h"
#include "entry/decision_stream.h"
#include "entry/loan_driver.h"
#include "entry/peer_transport.h"
#include "entry/worker_desk.h"
#include "lease/freeze_promises.h"
#include "lease/renewer.h"
#include "membership/membership_view.h"
#include "peer_protocol/handshake.h"
#include "peer_protocol/messages.h"

namespace papayadrift::entry {

struct PeerDriverSettings {
  lease::MemberKey self;
  std::string stream_address;
  lease::LeaseSettings lease;
  milliseconds heartbeat_period{250};

  friend bool operator==(const PeerDriverSettings&,
                         const PeerDriverSettings&) = default;
};

// Speaks with the other entries of the region: heartbeats, freeze promises,
// newer configuration, and state for one that can't get it from the log. On
// the control thread only.
class PeerDriver : public PeerTransportListener {
 public:
  PeerDriver(PeerDriverSettings settings,
             const peer_protocol::SharedKey& key,
             PeerTransport& transport,
             DecisionStream& decisions,
             ConfigurationStream& configuration,
             lease::Renewer& renewer,
             lease::FreezePromises& promises,
             membership::MembershipView& view,
             WorkerDesk& workers,
             LoanDriver& loans,
             const Clock& clock);

  void OnTime();

  void OnOpened(ChannelId channel, bool is_dialed) override;
  void OnMessage(ChannelId channel, const std::string& bytes) override;
  void OnClosed(ChannelId channel) override;

  // Sends to a peer; returns false when no trusted connection leads there.
  bool SendTo(const lease::MemberKey& peer,
              const peer_protocol::Message& message);
  bool IsConnectedTo(const lease::MemberKey& peer) const;
  // Peers that a trusted connection leads to.
  size_t connected_count() const { return channel_of_.size(); }
  // Whether a peer replayed the same records to another state.
  bool has_diverged() const { return has_diverged_; }

 private:
  using Handshake = std::variant<peer_protocol::DialerHandshake,
                                 peer_protocol::ListenerHandshake>;
  struct Taker;

  // A state that is being fetched from a peer.
  struct Fetching {
    lease::MemberKey peer;
    Offset state_offset;
    uint32_t count = 0;
    uint64_t checksum = 0;
    std::string bytes;
    Instant give_up_at;
  };
  // A state that is being handed to peers.
  struct Handing {
    Offset state_offset;
    uint64_t checksum = 0;
    std::string bytes;
    Instant drop_at;
  };

  void Send(ChannelId channel, const peer_protocol::Message& message);
  void Broadcast(const peer_protocol::Message& message);
  void Trust(ChannelId channel, const lease::MemberKey& peer);
  std::optional<lease::MemberKey> PeerOf(ChannelId channel) const;
  peer_protocol::HandshakeIdentity Identity() const;
  void SendHeartbeats();
  // Tells homes which of their workers were heard here since `since`.
  void TellHomes();
  void AskForPromises();
  void FetchState();
  void CompareDigest(const peer_protocol::PeerHeartbeat& heartbeat);
  peer_protocol::StateChunk ChunkFor(
      const peer_protocol::StateRequest& request);
  void TakeChunk(ChannelId channel, const peer_protocol::StateChunk& chunk);

  const PeerDriverSettings settings_;
  const peer_protocol::SharedKey key_;
  PeerTransport& transport_;
  DecisionStream& decisions_;
  ConfigurationStream& configuration_;
  lease::Renewer& renewer_;
  lease::FreezePromises& promises_;
  membership::MembershipView& view_;
  WorkerDesk& workers_;
  LoanDriver& loans_;
  const Clock& clock_;
  std::map<ChannelId, Handshake> handshakes_;
  std::map<ChannelId, lease::MemberKey> trusted_;
  std::map<lease::MemberKey, ChannelId> channel_of_;
  Instant heartbeat_at_;
  Instant told_at_;
  Instant ask_at_;
  std::optional<Fetching> fetching_;
  std::optional<Handing> handing_;
  bool has_diverged_ = false;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_PEER_DRIVER_H_
