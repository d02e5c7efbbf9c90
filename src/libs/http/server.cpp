#include "http/server.h"

#include <openssl/crypto.h>
#include <pplx/threadpool.h>
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/ssl.hpp>
#include <thread>
#include <utility>

#include "async_http/address.h"
#include "async_http/session_p.h"
#include "http/conversion_p.h"

namespace papayadrift::http {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using TlsStream = asio::ssl::stream<tcp::socket>;

// For the responses to those who come while the server finishes.
constexpr milliseconds kLateTime(500);
constexpr milliseconds kLatePoll(1);

// Of the descriptors that the process may have, those for callers. The others
// are for the process's own calls.
constexpr size_t kDescriptorPart = 2;
constexpr size_t kMaxConnections = 16384;
// Held by all connections together, unless a body may be larger.
constexpr size_t kConnectionsBytes = size_t{32} << 20;

constexpr int kStatusBadRequest = 400;
constexpr int kStatusLengthRequired = 411;
constexpr int kStatusTooLarge = 413;
constexpr int kStatusInternalError = 500;
constexpr int kStatusUnavailable = 503;

constexpr char kContentType[] = "content-type";

// What all requests of a server share; outlives the server while one is in
// flight. The event loop goes last.
struct Shared {
  Shared(ServerSettings server_settings, Handler server_handler)
      : settings(std::move(server_settings)),
        handler(std::move(server_handler)) {}

  asio::io_context loop{1};
  const ServerSettings settings;
  const Handler handler;
  std::atomic<size_t> requests_in_flight{0};
  std::atomic<size_t> late_requests{0};  // Those refused since the stop.
  std::atomic<bool> is_stopping{false};
};

void LeaveFlight(Shared& shared) {
  if (shared.requests_in_flight.fetch_sub(1) == 1) {
    shared.requests_in_flight.notify_all();
  }
}

Response RefusalResponse(int status,
                         const char* reason,
                         const char* ran = "no") {
  return {
      status,
      {{"content-type", "application/json"}},
      std::string(R"({"reason":")") + reason + R"(","ran":")" + ran + R"("})"};
}

Response ResponseOfRefusal(int status) {
  const bool is_too_large = status == kStatusTooLarge;
  return RefusalResponse(status,
                         is_too_large ? "body_too_large" : "bad_request");
}

// Runs on a thread of the pool.
template <typename Task>
void RunOnPool(Task task) {
  asio::post(crossplat::threadpool::shared_instance().service(),
             std::move(task));
}

// One request from its arrival as a whole to its response.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(std::shared_ptr<Shared> shared, async_http::Reply reply)
      : shared_(std::move(shared)), reply_(std::move(reply)) {}

  // On the event loop.
  void Start(Request request, const std::string& target) {
    const size_t before = shared_->requests_in_flight.fetch_add(1);
    if (shared_->is_stopping) {
      CountAsLate();
      Answer(RefusalResponse(kStatusUnavailable, "stopping"));
    } else if (before >= shared_->settings.maximum_requests_in_flight) {
      Answer(RefusalResponse(kStatusUnavailable, "overloaded"));
    } else if (request.headers.contains("transfer-encoding")) {
      Answer(RefusalResponse(kStatusLengthRequired, "bad_request"));
    } else if (!ReadTarget(target, request)) {
      Answer(RefusalResponse(kStatusBadRequest, "bad_request"));
    } else {
      RunOnPool([self = shared_from_this(), request = std::move(request)] {
        self->shared_->handler(request, self->MakeRespond());
      });
    }
  }

  // Sends `response`, unless another one was sent. On any thread.
  void Answer(Response response, Respond::OnWritten on_written = nullptr) {
    if (is_answered_.exchange(true)) {
      if (on_written) {
        on_written(false);
      }
      return;
    }
    if (shared_->is_stopping) {
      response.headers["connection"] = "close";
    }
    response.headers.try_emplace(kContentType, "application/octet-stream");
    // The task must not keep the loop alive that it waits in. The reply refers
    // to the connection, which only the loop's thread uses.
    asio::post(shared_->loop,
               [reply = std::move(reply_), weak = std::weak_ptr(shared_),
                is_late = is_late_, response = std::move(response),
                on_written = std::move(on_written)]() mutable {
                 reply(std::move(response),
                       [weak, is_late, on_written = std::move(on_written)](
                           bool is_written) mutable {
                         RunOnPool([weak, is_late, is_written,
                                    on_written = std::move(on_written)] {
                           if (on_written) {
                             on_written(is_written);
                           }
                           Leave(weak, is_late);
                         });
                       });
               });
  }

 private:
  // Whoever comes after the stop doesn't hold it up.
  void CountAsLate() {
    ++shared_->late_requests;
    LeaveFlight(*shared_);
    is_late_ = true;
  }

  Respond MakeRespond() {
    auto guard = std::shared_ptr<Exchange>(
        this, [self = shared_from_this()](Exchange* exchange) {
          exchange->Answer(
              RefusalResponse(kStatusInternalError, "entry_lost", "unknown"));
        });
    return Respond([guard = std::move(guard)](Response response,
                                              Respond::OnWritten on_written) {
      guard->Answer(std::move(response), std::move(on_written));
    });
  }

  // No longer counts as in flight.
  static void Leave(const std::weak_ptr<Shared>& weak, bool is_late) {
    const auto shared = weak.lock();
    if (!shared) {
      return;
    }
    if (is_late) {
      --shared->late_requests;
      return;
    }
    LeaveFlight(*shared);
  }

  const std::shared_ptr<Shared> shared_;
  async_http::Reply reply_;
  bool is_late_ = false;
  std::atomic<bool> is_answered_{false};
};

// Returns whether the two files can be used together.
bool LoadCertificate(boost::asio::ssl::context& context,
                     const ServerSettings& settings) {
  boost::system::error_code ec;
  if (context.use_certificate_chain_file(settings.certificate_chain_path, ec)) {
    return false;
  }
  return !context.use_private_key_file(settings.private_key_path,
                                       boost::asio::ssl::context::pem, ec);
}

bool CanLoadCertificate(const ServerSettings& settings) {
  if (settings.certificate_chain_path.empty()) {
    return settings.private_key_path.empty();
  }
  boost::asio::ssl::context context(boost::asio::ssl::context::tls_server);
  return LoadCertificate(context, settings);
}

async_http::ServerSettings AsyncSettingsOf(const ServerSettings& settings) {
  rlimit limit{};
  const size_t descriptors = getrlimit(RLIMIT_NOFILE, &limit) == 0
                                 ? limit.rlim_cur
                                 : 2 * kMaxConnections;
  async_http::ServerSettings result;
  result.address = settings.address;
  result.maximum_body_bytes = settings.maximum_body_bytes;
  result.connections.connections =
      std::clamp(descriptors / kDescriptorPart, size_t{1}, kMaxConnections);
  result.connections.bytes =
      std::max(kConnectionsBytes, settings.maximum_body_bytes + (1 << 20));
  result.message_timeout = settings.body_time_limit;
  return result;
}

}  // namespace

void InitializeThreads(int threads) {
  // The pool's threads outlive OpenSSL's own end, which would lose their state.
  OPENSSL_init_crypto(OPENSSL_INIT_NO_ATEXIT, nullptr);
  crossplat::threadpool::initialize_with_threads(static_cast<size_t>(threads));
}

class Server::Private {
 public:
  Private(ServerSettings settings,
          Handler handler,
          async_http::RefusalListener listener)
      : shared(
            std::make_shared<Shared>(std::move(settings), std::move(handler))),
        on_refused(std::move(listener)) {}

  bool Open() {
    const ServerSettings& settings = shared->settings;
    if (!async_http::IsAddress(settings.address)) {
      last_reason = ServerFailure::kBadAddress;
      return false;
    }
    if (!CanLoadCertificate(settings)) {
      last_reason = ServerFailure::kBadCertificate;
      return false;
    }
    auto state = std::make_shared<async_http::ServerState>(
        shared->loop, AsyncSettingsOf(settings),
        [weak = std::weak_ptr(shared)](Request request,
                                       const std::string& target,
                                       async_http::Reply reply) {
          if (const auto it = weak.lock()) {
            std::make_shared<Exchange>(it, std::move(reply))
                ->Start(std::move(request), target);
          }
        },
        on_refused);
    // The state belongs to the loop of `shared`, which it must not keep alive.
    state->on_arriving = [&requests = *shared](bool is_arriving) {
      if (is_arriving) {
        ++requests.requests_in_flight;
      } else {
        LeaveFlight(requests);
      }
    };
    state->make_refusal = &ResponseOfRefusal;
    state->tells_remote_address = true;
    acceptor = std::make_shared<async_http::Acceptor>(
        shared->loop, std::move(state), StarterOf(settings));
    if (!acceptor->Open()) {
      last_reason = ServerFailure::kAddressInUse;
      return false;
    }
    thread = std::thread([this] { shared->loop.run(); });
    return true;
  }

  // Ends all connections.
  void Close() {
    asio::post(shared->loop, [this] {
      acceptor->Close();
      acceptor->CloseSessions();
      shared->loop.stop();
    });
    thread.join();
    acceptor.reset();
  }

  const std::shared_ptr<Shared> shared;
  const async_http::RefusalListener on_refused;
  std::shared_ptr<async_http::Acceptor> acceptor;
  std::thread thread;
  std::optional<ServerFailure> last_reason;

 private:
  static async_http::StartSession StarterOf(const ServerSettings& settings) {
    if (settings.certificate_chain_path.empty()) {
      return [](tcp::socket socket,
                const std::shared_ptr<async_http::ServerState>& state) {
        std::make_shared<async_http::StreamSession<tcp::socket>>(
            state, std::move(socket))
            ->Read();
      };
    }
    auto context =
        std::make_shared<asio::ssl::context>(asio::ssl::context::tls_server);
    LoadCertificate(*context, settings);
    return [context](tcp::socket socket,
                     const std::shared_ptr<async_http::ServerState>& state) {
      auto session = std::make_shared<async_http::StreamSession<TlsStream>>(
          state, std::move(socket), *context);
      session->BeginHandshake();
      session->stream().async_handshake(
          asio::ssl::stream_base::server,
          [session, context](boost::system::error_code ec) {
            if (ec) {
              session->Close();
            } else {
              session->Read();
            }
          });
    };
  }
};

Server::Server(ServerSettings settings,
               Handler handler,
               async_http::RefusalListener on_refused)
    : private_(std::make_unique<Private>(std::move(settings),
                                         std::move(handler),
                                         std::move(on_refused))) {}

Server::~Server() {
  Close();
}

bool Server::Open() {
  return private_->Open();
}

void Server::Finish() {
  Shared& shared = *private_->shared;
  shared.is_stopping = true;
  size_t n = shared.requests_in_flight;
  while (n > 0) {
    shared.requests_in_flight.wait(n);
    n = shared.requests_in_flight;
  }
  for (milliseconds waited(0); shared.late_requests > 0 && waited < kLateTime;
       waited += kLatePoll) {
    std::this_thread::sleep_for(kLatePoll);
  }
}

void Server::Close() {
  if (!private_->thread.joinable()) {
    return;
  }
  Finish();
  private_->Close();
}

size_t Server::requests_in_flight() const {
  return private_->shared->requests_in_flight;
}

std::optional<ServerFailure> Server::last_reason() const {
  return private_->last_reason;
}

}  // namespace papayadrift::http
