#ifndef PAPAYADRIFT_ASYNC_HTTP_SERVER_H_
#define PAPAYADRIFT_ASYNC_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "base/instant.h"
#include "http/message.h"

// HTTP/1.1 on one thread: server and client run on the caller's event loop and
// keep no thread, lock or timer thread of their own. For processes that have a
// small share of one core.

namespace papayadrift::async_http {

struct ServerSettings {
  std::string address;  // "ip:port".
  size_t maximum_header_bytes = 16 * 1024;
  size_t maximum_body_bytes = 1 << 20;
  size_t maximum_connections = 2048;
  // A connection that brings no whole request for so long is closed.
  milliseconds idle_timeout{30000};

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
         Handler handler);
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
  std::shared_ptr<Private> private_;
};

}  // namespace papayadrift::async_http

#endif  // PAPAYADRIFT_ASYNC_HTTP_SERVER_H_
