#ifndef PAPAYADRIFT_ASYNC_HTTP_SERVER_H_
#define PAPAYADRIFT_ASYNC_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "async_http/connection_budget.h"
#include "async_http/refusal.h"
#include "base/instant.h"
#include "http/message.h"

// HTTP/1.1 on one thread: server and client run on the caller's event loop and
// keep no thread, lock or timer thread of their own. For processes that have a
// small share of one core.
//
// Clients may send anything. What arrives of a message is bounded in bytes and
// in time as a whole, and so are all connections of a server together: see
// ConnectionBudget.

namespace papayadrift::async_http {

struct ServerSettings {
  std::string address;  // "ip:port".
  // Of the request line and of the header fields, each.
  size_t maximum_header_bytes = 16 * 1024;
  size_t maximum_body_bytes = 1 << 20;
  ConnectionLimits connections;
  // A connection on which no request begins for this long is closed.
  milliseconds idle_timeout{30000};
  // From the first byte of a request to the end of its header. Peers may take
  // 3 s by the platform's limits.
  milliseconds header_timeout{5000};
  // From the first byte of a request to its end.
  milliseconds message_timeout{30000};
  // For reading a whole response.
  milliseconds response_timeout{30000};

  friend bool operator==(const ServerSettings&,
                         const ServerSettings&) = default;
};

// Sends the response of one request; to be called once, on the event loop.
using Respond = std::function<void(http::Response)>;
using Handler = std::function<void(http::Request, Respond)>;

class Server {
 public:
  Server(boost::asio::io_context& loop,
         ServerSettings settings,
         Handler handler,
         RefusalListener on_refused = nullptr);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Begins to listen. Returns false if the address can't be used.
  bool Open();
  // Ends each connection after the response under way, and idle ones at once.
  void Drain();
  size_t requests_in_flight() const;

 private:
  class Private;
  std::unique_ptr<Private> private_;
};

}  // namespace papayadrift::async_http

#endif  // PAPAYADRIFT_ASYNC_HTTP_SERVER_H_
