#include "entry/stream_peer_transport.h"

#include <utility>

namespace papayadrift::entry {

namespace {

streams::StreamSettings StreamSettingsFor(const std::string& address) {
  streams::StreamSettings settings;
  settings.address = address;
  return settings;
}

ChannelId ChannelOf(streams::ConnectionId connection) {
  return ChannelId(connection.value());
}

streams::ConnectionId ConnectionOf(ChannelId channel) {
  return streams::ConnectionId(channel.value());
}

}  // namespace

StreamPeerTransport::StreamPeerTransport(const std::string& address,
                                         std::shared_ptr<TaskRunner> control)
    : control_(std::move(control)), node_(StreamSettingsFor(address), *this) {}

bool StreamPeerTransport::Open(PeerTransportListener& listener) {
  listener_ = &listener;
  return node_.Open();
}

void StreamPeerTransport::Shut() {
  node_.Close();
}

void StreamPeerTransport::SetAddresses(
    const std::vector<std::string>& addresses) {
  if (addresses != addresses_) {
    addresses_ = addresses;
    node_.SetAddresses(addresses);
  }
}

void StreamPeerTransport::Send(ChannelId channel, const std::string& bytes) {
  node_.Send(ConnectionOf(channel), bytes);
}

void StreamPeerTransport::Close(ChannelId channel) {
  node_.CloseConnection(ConnectionOf(channel));
}

void StreamPeerTransport::OnOpened(streams::ConnectionId connection,
                                   bool is_dialed) {
  control_->Post([this, connection, is_dialed] {
    listener_->OnOpened(ChannelOf(connection), is_dialed);
  });
}

void StreamPeerTransport::OnMessage(streams::ConnectionId connection,
                                    std::string message) {
  control_->Post([this, connection, message = std::move(message)] {
    listener_->OnMessage(ChannelOf(connection), message);
  });
}

void StreamPeerTransport::OnClosed(streams::ConnectionId connection) {
  control_->Post(
      [this, connection] { listener_->OnClosed(ChannelOf(connection)); });
}

}  // namespace papayadrift::entry
