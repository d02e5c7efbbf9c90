#include "http/server.h"

#include <cpprest/http_listener.h>
#include <openssl/crypto.h>
#include <pplx/threadpool.h>

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <thread>
#include <utility>

#include "http/conversion_p.h"

namespace papayadrift::http {

namespace {

using ListenerConfig = web::http::experimental::listener::http_listener_config;
using Listener = web::http::experimental::listener::http_listener;

constexpr size_t kReadBytes = 8 << 10;

// After its last response a connection needs a moment before it can be closed.
constexpr milliseconds kSettlingTime(50);

// For the responses to those who come while the server finishes.
constexpr milliseconds kLateTime(500);
constexpr milliseconds kLatePoll(1);

constexpr int kStatusBadRequest = 400;
constexpr int kStatusRequestTimeout = 408;
constexpr int kStatusLengthRequired = 411;
constexpr int kStatusTooLarge = 413;
constexpr int kStatusInternalError = 500;
constexpr int kStatusUnavailable = 503;

// What all requests of a server share; outlives the server while one is in
// flight.
struct Shared {
  Shared(ServerSettings server_settings, Handler server_handler)
      : settings(std::move(server_settings)),
        handler(std::move(server_handler)) {}

  const ServerSettings settings;
  const Handler handler;
  std::atomic<size_t> requests_in_flight{0};
  std::atomic<size_t> late_requests{0};  // Those refused since the stop.
  std::atomic<bool> is_stopping{false};
};

Response RefusalResponse(int status,
                         const char* reason,
                         const char* ran = "no") {
  return {
      status,
      {{"content-type", "application/json"}},
      std::string(R"({"reason":")") + reason + R"(","ran":")" + ran + R"("})"};
}

// Returns whether the task succeeded. A failure only means that the caller has
// gone: nobody is left to be told.
bool Observe(const pplx::task<void>& task) {
  try {
    task.get();
  } catch (const std::exception&) {
    return false;
  }
  return true;
}

// One request from its headers to its response.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(std::shared_ptr<Shared> shared,
           const web::http::http_request& message)
      : shared_(std::move(shared)),
        message_(message),
        timer_(crossplat::threadpool::shared_instance().service()) {}

  void Start() {
    const size_t before = shared_->requests_in_flight.fetch_add(1);
    if (shared_->is_stopping) {
      refusal_ = RefusalResponse(kStatusUnavailable, "stopping");
      CountAsLate();
    } else if (before >= shared_->settings.maximum_requests_in_flight) {
      refusal_ = RefusalResponse(kStatusUnavailable, "overloaded");
    } else if (message_.headers().has(
                   web::http::header_names::transfer_encoding)) {
      refusal_ = RefusalResponse(kStatusLengthRequired, "bad_request");
    } else if (AnnouncedLength(message_.headers()).value_or(0) >
               shared_->settings.maximum_body_bytes) {
      refusal_ = RefusalResponse(kStatusTooLarge, "body_too_large");
    }
    StartTimer();
    ReadMore();
  }

  // Sends `response`, unless another one was sent.
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
    message_.reply(ToCppRest(std::move(response)))
        .then([self = shared_from_this(), on_written = std::move(on_written)](
                  const pplx::task<void>& task) {
          const bool is_written = Observe(task);
          if (on_written) {
            on_written(is_written);
          }
          self->Leave();
        });
  }

 private:
  // Whoever comes after the stop doesn't hold it up.
  void CountAsLate() {
    ++shared_->late_requests;
    LeaveFlight();
    is_late_ = true;
  }

  void StartTimer() {
    timer_.expires_after(shared_->settings.body_time_limit);
    timer_.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
      const auto self = weak.lock();
      if (!ec && self && !self->is_whole_) {
        self->Break(RefusalResponse(kStatusRequestTimeout, "bad_request"));
      }
    });
  }

  void ReadMore() {
    body_.resize(body_size_ + kReadBytes);
    auto* const end = reinterpret_cast<uint8_t*>(body_.data() + body_size_);
    message_.body()
        .streambuf()
        .getn(end, kReadBytes)
        .then([self = shared_from_this()](const pplx::task<size_t>& task) {
          self->OnRead(task);
        });
  }

  void OnRead(const pplx::task<size_t>& task) {
    size_t n = 0;
    try {
      n = task.get();
    } catch (const std::exception&) {
      return Break(RefusalResponse(kStatusBadRequest, "bad_request"));
    }
    body_size_ += refusal_ ? 0 : n;  // What is refused is dropped.
    if (n > 0) {
      return ReadMore();
    }
    Confirm();
  }

  // The stream also ends when the connection does: asks which it was.
  void Confirm() {
    message_.content_ready().then(
        [self = shared_from_this()](
            const pplx::task<web::http::http_request>& task) {
          try {
            task.get();
          } catch (const std::exception&) {
            return self->Break(
                RefusalResponse(kStatusBadRequest, "bad_request"));
          }
          self->Handle();
        });
  }

  void Handle() {
    if (is_whole_.exchange(true)) {
      return;
    }
    if (refusal_) {
      return Answer(std::move(*refusal_));
    }
    std::optional<Request> request = FromCppRest(message_);
    if (!request) {
      return Answer(RefusalResponse(kStatusBadRequest, "bad_request"));
    }
    body_.resize(body_size_);
    request->body = std::move(body_);
    shared_->handler(std::move(*request), MakeRespond());
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

  // Gives up the rest of the body. The library sends the answer only when the
  // caller's next bytes, or its end, stop the reading of the body; to close the
  // connection while it reads is not safe.
  void Break(Response response) {
    if (is_whole_.exchange(true)) {
      return;
    }
    response.headers["connection"] = "close";
    message_._get_impl()
        ->outstream()
        .streambuf()
        .close(std::ios_base::out,
               std::make_exception_ptr(
                   web::http::http_exception("The body was given up.")))
        .then([](const pplx::task<void>& task) { Observe(task); });
    Answer(std::move(response));
    Leave();
  }

  // No longer counts as in flight.
  void Leave() {
    if (has_left_.exchange(true)) {
      return;
    }
    if (is_late_) {
      --shared_->late_requests;
      return;
    }
    LeaveFlight();
  }

  void LeaveFlight() {
    if (shared_->requests_in_flight.fetch_sub(1) == 1) {
      shared_->requests_in_flight.notify_all();
    }
  }

  const std::shared_ptr<Shared> shared_;
  web::http::http_request message_;
  boost::asio::steady_timer timer_;
  std::string body_;
  size_t body_size_ = 0;
  std::optional<Response> refusal_;  // Sent once the body has come.
  bool is_late_ = false;
  std::atomic<bool> is_whole_{false};
  std::atomic<bool> is_answered_{false};
  std::atomic<bool> has_left_{false};
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

ListenerConfig MakeConfig(const ServerSettings& settings) {
  ListenerConfig config;
  if (settings.certificate_chain_path.empty()) {
    return config;
  }
  config.set_ssl_context_callback(
      [settings](boost::asio::ssl::context& context) {
        LoadCertificate(context, settings);
      });
  return config;
}

std::optional<web::uri> ToUri(const ServerSettings& settings) {
  const bool is_secure = !settings.certificate_chain_path.empty();
  const std::string text =
      (is_secure ? "https://" : "http://") + settings.address + "/";
  if (!web::uri::validate(text)) {
    return std::nullopt;
  }
  web::uri uri(text);
  boost::system::error_code ec;
  boost::asio::ip::make_address(uri.host(), ec);
  if (ec || uri.port() <= 0) {
    return std::nullopt;
  }
  return uri;
}

}  // namespace

void InitializeThreads(int threads) {
  // The pool's threads outlive OpenSSL's own end, which would lose their state.
  OPENSSL_init_crypto(OPENSSL_INIT_NO_ATEXIT, nullptr);
  crossplat::threadpool::initialize_with_threads(static_cast<size_t>(threads));
}

class Server::Private {
 public:
  Private(ServerSettings settings, Handler handler)
      : shared(std::make_shared<Shared>(std::move(settings),
                                        std::move(handler))) {}

  const std::shared_ptr<Shared> shared;
  std::unique_ptr<Listener> listener;
  std::optional<ServerFailure> last_reason;
};

Server::Server(ServerSettings settings, Handler handler)
    : private_(
          std::make_unique<Private>(std::move(settings), std::move(handler))) {}

Server::~Server() {
  Close();
}

bool Server::Open() {
  const std::shared_ptr<Shared>& shared = private_->shared;
  const std::optional<web::uri> uri = ToUri(shared->settings);
  if (!uri) {
    private_->last_reason = ServerFailure::kBadAddress;
    return false;
  }
  if (!CanLoadCertificate(shared->settings)) {
    private_->last_reason = ServerFailure::kBadCertificate;
    return false;
  }
  auto listener =
      std::make_unique<Listener>(*uri, MakeConfig(shared->settings));
  listener->support([shared](const web::http::http_request& message) {
    std::make_shared<Exchange>(shared, message)->Start();
  });
  try {
    listener->open().wait();
  } catch (const std::exception&) {
    private_->last_reason = ServerFailure::kAddressInUse;
    return false;
  }
  private_->listener = std::move(listener);
  return true;
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
  if (!private_->listener) {
    return;
  }
  Finish();
  std::this_thread::sleep_for(kSettlingTime);
  private_->listener->close().then(Observe).wait();
  private_->listener.reset();
}

size_t Server::requests_in_flight() const {
  return private_->shared->requests_in_flight;
}

std::optional<ServerFailure> Server::last_reason() const {
  return private_->last_reason;
}

}  // namespace papayadrift::http
