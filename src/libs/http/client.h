#ifndef PAPAYADRIFT_HTTP_CLIENT_H_
#define PAPAYADRIFT_HTTP_CLIENT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/instant.h"
#include "http/message.h"

namespace papayadrift::http {

struct ClientSettings {
  size_t maximum_body_bytes = 16 << 20;
  // PEM file of the authority that servers' certificates must lead to; empty
  // for plain HTTP.
  std::string authority_path;

  friend bool operator==(const ClientSettings&,
                         const ClientSettings&) = default;
};

// Which connection a request goes out on.
enum class ConnectionUse {
  kKept,   // One that is kept from an earlier request, if there is one.
  kFresh,  // A new one, so that a server's closing of idle ones costs nothing.
};

// Sends HTTP/1.1 requests; connections to an address are kept and reused.
class Client {
 public:
  Client(ClientSettings settings, const Clock& clock);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Sends `request` to `address` ("ip:port"). `done` runs exactly once, on a
  // thread of the pool, at the latest soon after `deadline`. Nothing is ever
  // sent a second time.
  void Send(const std::string& address,
            Request request,
            Instant deadline,
            std::function<void(ClientResult)> done,
            ConnectionUse use = ConnectionUse::kKept);

  // The same, but waits for the result. Not for threads of the pool.
  ClientResult SendAndWait(const std::string& address,
                           Request request,
                           Instant deadline,
                           ConnectionUse use = ConnectionUse::kKept);

 private:
  class Private;
  std::unique_ptr<Private> private_;
};

}  // namespace papayadrift::http

#endif  // PAPAYADRIFT_HTTP_CLIENT_H_
