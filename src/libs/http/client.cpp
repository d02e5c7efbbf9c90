#include "http/client.h"

#include <cpprest/http_client.h>
#include <pplx/threadpool.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <future>
#include <mutex>
#include <shared_mutex>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "http/conversion_p.h"

namespace papayadrift::http {

namespace {

using CppRestClient = web::http::client::http_client;

// Clients of addresses that went away are dropped when there are so many.
constexpr size_t kMaximumKeptAddresses = 4096;
// Longer than any deadline, which the calls keep themselves.
constexpr seconds kLibraryTimeout(3600);
// How the library describes failures before the first byte of a request; its
// error codes alone are the same for some later failures.
constexpr std::string_view kConnectFailures[] = {
    "Failed to connect to any resolved endpoint",
    "Error in SSL handshake",
};

bool IsConnectFailure(const std::exception& exception) {
  const std::string_view text = exception.what();
  return std::ranges::any_of(kConnectFailures, [text](std::string_view start) {
    return text.starts_with(start);
  });
}

// The clients of the addresses spoken to; each keeps its own connections.
class KeptClients {
 public:
  std::shared_ptr<CppRestClient> Find(const std::string& address) const {
    const std::shared_lock lock(mutex_);
    const auto it = clients_.find(address);
    return it == clients_.end() ? nullptr : it->second;
  }

  void Keep(const std::string& address, std::shared_ptr<CppRestClient> client) {
    const std::unique_lock lock(mutex_);
    if (clients_.size() >= kMaximumKeptAddresses) {
      clients_.clear();
    }
    clients_.insert_or_assign(address, std::move(client));
  }

  // Forgets `client` and with it the connections that it keeps.
  void Forget(const CppRestClient* client) {
    const std::unique_lock lock(mutex_);
    std::erase_if(clients_, [client](const auto& entry) {
      return entry.second.get() == client;
    });
  }

 private:
  mutable std::shared_mutex mutex_;
  std::unordered_map<std::string, std::shared_ptr<CppRestClient>> clients_;
};

// One request from its sending to its result.
class Call : public std::enable_shared_from_this<Call> {
 public:
  Call(std::shared_ptr<KeptClients> kept,
       std::shared_ptr<CppRestClient> client,
       size_t maximum_body_bytes,
       std::function<void(ClientResult)> done)
      : kept_(std::move(kept)),
        client_(std::move(client)),
        maximum_body_bytes_(maximum_body_bytes),
        done_(std::move(done)),
        timer_(crossplat::threadpool::shared_instance().service()) {}

  void Start(Request request, microseconds left) {
    StartTimer(left);
    web::http::http_request message = ToCppRest(std::move(request));
    message.set_progress_handler(
        [weak = weak_from_this()](
            web::http::message_direction::direction direction,
            utility::size64_t n) {
          const auto self = weak.lock();
          if (self && direction == web::http::message_direction::download) {
            self->CheckSize(n);
          }
        });
    client_->request(message, cancellation_.get_token())
        .then([self = shared_from_this()](
                  const pplx::task<web::http::http_response>& task) {
          self->OnHeaders(task);
        });
  }

 private:
  void StartTimer(microseconds left) {
    timer_.expires_after(left);
    timer_.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
      if (const auto self = weak.lock(); self && !ec) {
        self->Abandon(ClientFailure::kTimedOut);
      }
    });
  }

  void CheckSize(uint64_t n) {
    if (n > maximum_body_bytes_) {
      Abandon(ClientFailure::kTooLarge);
    }
  }

  void OnHeaders(const pplx::task<web::http::http_response>& task) {
    try {
      response_ = task.get();
    } catch (const std::exception& exception) {
      return Finish(IsConnectFailure(exception) ? ClientFailure::kNotConnected
                                                : ClientFailure::kLost);
    }
    CheckSize(AnnouncedLength(response_.headers()).value_or(0));
    response_.extract_vector().then(
        [self = shared_from_this()](
            const pplx::task<std::vector<unsigned char>>& body) {
          self->OnBody(body);
        });
  }

  void OnBody(const pplx::task<std::vector<unsigned char>>& task) {
    try {
      const std::vector<unsigned char> body = task.get();
      if (body.size() > maximum_body_bytes_) {
        return Finish(ClientFailure::kTooLarge);
      }
      Finish(Response{response_.status_code(), FromCppRest(response_.headers()),
                      std::string(body.begin(), body.end())});
    } catch (const std::exception&) {
      Finish(ClientFailure::kTruncated);
    }
  }

  void Abandon(ClientFailure failure) {
    Finish(failure);
    cancellation_.cancel();
  }

  void Finish(ClientResult result) {
    if (is_done_.exchange(true)) {
      return;
    }
    if (!std::holds_alternative<Response>(result)) {
      // The library keeps connections that it has closed itself.
      kept_->Forget(client_.get());
    }
    std::exchange(done_, nullptr)(std::move(result));
  }

  const std::shared_ptr<KeptClients> kept_;
  const std::shared_ptr<CppRestClient> client_;
  const size_t maximum_body_bytes_;
  std::function<void(ClientResult)> done_;
  boost::asio::steady_timer timer_;
  pplx::cancellation_token_source cancellation_;
  web::http::http_response response_;
  std::atomic<bool> is_done_{false};
};

web::http::client::http_client_config MakeConfig(
    const ClientSettings& settings) {
  web::http::client::http_client_config config;
  config.set_timeout(kLibraryTimeout);
  config.set_max_redirects(0);
  if (!settings.authority_path.empty()) {
    config.set_ssl_context_callback(
        [path = settings.authority_path](boost::asio::ssl::context& context) {
          boost::system::error_code ec;
          if (context.load_verify_file(path, ec)) {
            return;  // Without its authority no server is trusted.
          }
        });
  }
  return config;
}

}  // namespace

class Client::Private {
 public:
  Private(ClientSettings client_settings, const Clock& client_clock)
      : settings(std::move(client_settings)),
        clock(client_clock),
        config(MakeConfig(settings)) {}

  // Returns nothing for an address that is not "ip:port".
  std::shared_ptr<CppRestClient> MakeClient(const std::string& address) const {
    const std::string scheme =
        settings.authority_path.empty() ? "http://" : "https://";
    try {
      return std::make_shared<CppRestClient>(scheme + address, config);
    } catch (const std::exception&) {
      return nullptr;
    }
  }

  std::shared_ptr<CppRestClient> KeptClient(const std::string& address) const {
    std::shared_ptr<CppRestClient> client = kept->Find(address);
    if (!client) {
      client = MakeClient(address);
      if (client) {
        kept->Keep(address, client);
      }
    }
    return client;
  }

  const ClientSettings settings;
  const Clock& clock;
  const web::http::client::http_client_config config;
  const std::shared_ptr<KeptClients> kept = std::make_shared<KeptClients>();
};

Client::Client(ClientSettings settings, const Clock& clock)
    : private_(std::make_unique<Private>(std::move(settings), clock)) {}

Client::~Client() = default;

void Client::Send(const std::string& address,
                  Request request,
                  Instant deadline,
                  std::function<void(ClientResult)> done,
                  ConnectionUse use) {
  const auto client = use == ConnectionUse::kFresh
                          ? private_->MakeClient(address)
                          : private_->KeptClient(address);
  const microseconds left = deadline - private_->clock.Now();
  if (!client || left <= microseconds(0)) {
    return done(ClientFailure::kNotConnected);
  }
  std::make_shared<Call>(private_->kept, client,
                         private_->settings.maximum_body_bytes, std::move(done))
      ->Start(std::move(request), left);
}

ClientResult Client::SendAndWait(const std::string& address,
                                 Request request,
                                 Instant deadline,
                                 ConnectionUse use) {
  std::promise<ClientResult> promise;
  std::future<ClientResult> result = promise.get_future();
  Send(
      address, std::move(request), deadline,
      [&promise](ClientResult value) { promise.set_value(std::move(value)); },
      use);
  return result.get();
}

}  // namespace papayadrift::http
