#ifndef PAPAYADRIFT_ENTRY_STREAM_PEER_TRANSPORT_H_
#define PAPAYADRIFT_ENTRY_STREAM_PEER_TRANSPORT_H_

#include <memory>
#include <string>
#include <vector>

#include "entry/event_loop.h"
#include "entry/peer_transport.h"
#include "streams/stream_node.h"

namespace papayadrift::entry {

// Connections between entries over HTTP/2 streams.
class StreamPeerTransport : public PeerTransport,
                            private streams::StreamListener {
 public:
  StreamPeerTransport(const std::string& address,
                      std::shared_ptr<TaskRunner> control);

  // Begins to listen; `listener` hears on the control thread. Returns false if
  // the address can't be used.
  bool Open(PeerTransportListener& listener);
  // Closes all connections for good.
  void Shut();

  void SetAddresses(const std::vector<std::string>& addresses) override;
  void Send(ChannelId channel, const std::string& bytes) override;
  void Close(ChannelId channel) override;

 private:
  void OnOpened(streams::ConnectionId connection, bool is_dialed) override;
  void OnMessage(streams::ConnectionId connection,
                 std::string message) override;
  void OnClosed(streams::ConnectionId connection) override;

  const std::shared_ptr<TaskRunner> control_;
  PeerTransportListener* listener_ = nullptr;
  std::vector<std::string> addresses_;
  streams::StreamNode node_;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_STREAM_PEER_TRANSPORT_H_
