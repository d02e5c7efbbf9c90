#ifndef PAPAYADRIFT_HTTP_SERVER_H_
#define PAPAYADRIFT_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "async_http/refusal.h"
#include "base/instant.h"
#include "http/message.h"

namespace papayadrift::http {

// Sends the response of one request; may be called from any thread, once. If
// the last copy goes without a call, the caller is answered with 500, and told
// that it is not known whether the request ran.
class Respond {
 public:
  // Hears, once, on a thread of the pool, whether the whole response was handed
  // to the caller's connection. If not, the caller has gone; if so, it may
  // still have gone without reading it.
  using OnWritten = std::function<void(bool is_written)>;
  using Send = std::function<void(Response response, OnWritten on_written)>;

  Respond() = default;
  explicit Respond(Send send) : send_(std::move(send)) {}

  void operator()(Response response, OnWritten on_written = nullptr) const {
    send_(std::move(response), std::move(on_written));
  }

 private:
  Send send_;
};

// Handles one request; runs on a thread of the pool and must not block.
using Handler = std::function<void(Request, Respond)>;

struct ServerSettings {
  std::string address;  // "ip:port"; port 0 is not allowed.
  size_t maximum_body_bytes = 1 << 20;
  size_t maximum_requests_in_flight = 4096;
  // Time that a caller has for sending the body, from its headers on. Then the
  // request no longer counts as in flight; an answer with 408 reaches only a
  // caller that still ends its body.
  milliseconds body_time_limit = seconds(10);
  // PEM files; both empty for plain HTTP.
  std::string certificate_chain_path;
  std::string private_key_path;

  friend bool operator==(const ServerSettings&,
                         const ServerSettings&) = default;
};

enum class ServerFailure { kBadAddress, kAddressInUse, kBadCertificate };

// Sets the number of threads that all servers and clients of the process
// share. To be called once, before anything else of this library.
void InitializeThreads(int threads);

// An HTTP/1.1 server. A body over the limit is answered with 413, one without
// an announced length with 411, one that comes too slowly with 408, one request
// too many in flight with 503, without reaching the handler.
class Server {
 public:
  // `on_refused` may be empty; it must not block.
  Server(ServerSettings settings,
         Handler handler,
         async_http::RefusalListener on_refused = nullptr);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Starts to listen. Returns false, with a last reason, if it can't.
  bool Open();

  // Answers new requests with 503 from now on and waits until each request in
  // flight has its response. Not for threads of the pool.
  void Finish();

  // Finishes and stops to listen; the destructor does so too. Only for when
  // nobody connects any more: the library takes its listener away while a
  // connection is being accepted. A process that is still connected to ends
  // by `process::EndProcess` instead.
  void Close();

  // Not counting those that came after Finish() began.
  size_t requests_in_flight() const;
  std::optional<ServerFailure> last_reason() const;

 private:
  class Private;
  std::unique_ptr<Private> private_;
};

}  // namespace papayadrift::http

#endif  // PAPAYADRIFT_HTTP_SERVER_H_
