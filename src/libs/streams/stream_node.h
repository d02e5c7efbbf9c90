#ifndef PAPAYADRIFT_STREAMS_STREAM_NODE_H_
#define PAPAYADRIFT_STREAMS_STREAM_NODE_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "base/identifiers.h"
#include "base/instant.h"

namespace papayadrift::streams {

// One connection, in either direction; a number is never used again.
using ConnectionId = Number<struct ConnectionTag>;

// Hears of connections, on the node's thread.
class StreamListener {
 public:
  virtual ~StreamListener() = default;

  // A connection stands; `is_dialed` tells whether this process opened it.
  virtual void OnOpened(ConnectionId connection, bool is_dialed) = 0;
  virtual void OnMessage(ConnectionId connection, std::string message) = 0;
  virtual void OnClosed(ConnectionId connection) = 0;
};

struct StreamSettings {
  std::string address;  // "ip:port" to listen on.
  size_t maximum_message_bytes = 1 << 20;
  // Bytes that wait for a slow peer; beyond them its connection is closed.
  size_t maximum_queued_bytes = 8 << 20;
  size_t maximum_connections = 256;
  milliseconds connect_timeout{1000};
  milliseconds ping_period{1000};
  // A connection on which nothing came for this long is closed, and one that
  // has opened no stream by then, whatever came on it.
  milliseconds silence_timeout{4000};
  milliseconds first_redial_delay{50};
  milliseconds longest_redial_delay{2000};

  friend bool operator==(const StreamSettings&,
                         const StreamSettings&) = default;
};

// Carries messages between processes over HTTP/2 without encryption: one
// long-lived stream a connection, messages in its DATA frames, each behind
// its length. Messages of one connection arrive in order, or the connection
// closes. Calls may come from any thread.
class StreamNode {
 public:
  StreamNode(const StreamSettings& settings, StreamListener& listener);
  ~StreamNode();
  StreamNode(const StreamNode&) = delete;
  StreamNode& operator=(const StreamNode&) = delete;

  // Begins to listen. Returns false if the address can't be used.
  bool Open();
  // Closes all connections; the listener hears nothing after that.
  void Close();

  // Keeps one connection to each of these addresses ("ip:port"), dialing
  // again when it breaks, and closes dialed ones to other addresses.
  void SetAddresses(std::vector<std::string> addresses);
  // Sends a message; nothing happens if the connection is gone.
  void Send(ConnectionId connection, std::string message);
  void CloseConnection(ConnectionId connection);

 private:
  class Private;
  std::shared_ptr<Private> private_;
};

}  // namespace papayadrift::streams

#endif  // PAPAYADRIFT_STREAMS_STREAM_NODE_H_
