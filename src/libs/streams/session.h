#ifndef PAPAYADRIFT_STREAMS_SESSION_H_
#define PAPAYADRIFT_STREAMS_SESSION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace papayadrift::streams {

enum class SessionSide { kDialer, kListener };

// One HTTP/2 session with one long-lived stream: the dialer's bytes are the
// request's body, the listener's that of the response. Does no I/O: takes
// what came from the socket, gives what is to go there. For one thread.
class Session {
 public:
  explicit Session(SessionSide side);
  ~Session();
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  // Takes bytes from the socket. Returns false when the peer broke the
  // protocol or ended the stream.
  bool Receive(std::string_view bytes);
  // Returns body bytes that came since the last call.
  std::string TakeBody();
  // Queues body bytes for the peer.
  void Send(std::string_view bytes);
  void Ping();
  // Returns bytes for the socket, at most about `limit`; empty when there are
  // none at the moment.
  std::string TakeOutput(size_t limit);

  // Whether the stream stands, so that bytes can go both ways.
  bool is_open() const;
  // Body bytes that wait to be sent.
  size_t queued_bytes() const;

 private:
  class Private;
  std::unique_ptr<Private> private_;
};

}  // namespace papayadrift::streams

#endif  // PAPAYADRIFT_STREAMS_SESSION_H_
