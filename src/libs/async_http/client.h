#ifndef PAPAYADRIFT_ASYNC_HTTP_CLIENT_H_
#define PAPAYADRIFT_ASYNC_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/instant.h"
#include "http/message.h"

namespace papayadrift::async_http {

struct ClientSettings {
  size_t maximum_body_bytes = 16 << 20;
  // Connections kept open and unused, for each address.
  size_t maximum_idle_connections = 4;
  // An unused connection is not used again after this time: shorter than the
  // idle timeouts of the servers that are spoken to.
  milliseconds idle_timeout{8000};

  friend bool operator==(const ClientSettings&,
                         const ClientSettings&) = default;
};

// Sends requests; connections are kept and reused, one request at a time each.
// Nothing is ever sent a second time.
class Client {
 public:
  using Done = std::function<void(http::ClientResult)>;

  Client(boost::asio::io_context& loop,
         const ClientSettings& settings,
         const Clock& clock);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Calls `done` once, on the event loop, at the latest soon after `deadline`.
  void Send(const std::string& address,
            const http::Request& request,
            Instant deadline,
            Done done);

 private:
  class Private;
  std::shared_ptr<Private> private_;
};

}  // namespace papayadrift::async_http

#endif  // PAPAYADRIFT_ASYNC_HTTP_CLIENT_H_
