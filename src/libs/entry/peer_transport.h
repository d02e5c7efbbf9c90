#ifndef PAPAYADRIFT_ENTRY_PEER_TRANSPORT_H_
#define PAPAYADRIFT_ENTRY_PEER_TRANSPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/identifiers.h"

namespace papayadrift::entry {

// One connection to another process, in either direction; never used again.
using ChannelId = Number<struct ChannelTag>;

// Hears of connections, on the control thread.
class PeerTransportListener {
 public:
  virtual ~PeerTransportListener() = default;

  // A connection stands; `is_dialed` tells whether this process opened it.
  virtual void OnOpened(ChannelId channel, bool is_dialed) = 0;
  virtual void OnMessage(ChannelId channel, const std::string& bytes) = 0;
  virtual void OnClosed(ChannelId channel) = 0;
};

// Connections between entries. Calls come from the control thread.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;

  // Keeps one connection to each of these addresses ("ip:port"), dialing again
  // when it breaks, and closes dialed connections to others.
  virtual void SetAddresses(const std::vector<std::string>& addresses) = 0;
  // Sends one message; it may be lost, in part never.
  virtual void Send(ChannelId channel, const std::string& bytes) = 0;
  virtual void Close(ChannelId channel) = 0;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_PEER_TRANSPORT_H_
