#include "async_http/client.h"

#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <map>
#include <optional>
#include <tuple>
#include <utility>

#include "async_http/beast_p.h"

namespace papayadrift::async_http {
namespace {

namespace beast_http = boost::beast::http;
using ErrorCode = boost::system::error_code;

// A connection that waits for its next request.
struct IdleConnection {
  std::unique_ptr<boost::beast::tcp_stream> stream;
  Instant unused_until;
};

struct Pool {
  ClientSettings settings;
  std::map<std::string, std::deque<IdleConnection>> idle;
};

class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(std::shared_ptr<Pool> pool,
           const Clock& clock,
           std::string address,
           StringRequest request,
           Instant deadline,
           Client::Done done)
      : pool_(std::move(pool)),
        clock_(clock),
        address_(std::move(address)),
        request_(std::move(request)),
        deadline_(deadline),
        done_(std::move(done)) {}

  void Start(boost::asio::io_context& loop) {
    if (clock_.Now() >= deadline_) {
      Finish(http::ClientFailure::kNotConnected);
      return;
    }
    if (TakeIdle()) {
      Write();
      return;
    }
    const auto endpoint = EndpointOf(address_);
    if (!endpoint) {
      Finish(http::ClientFailure::kNotConnected);
      return;
    }
    stream_ = std::make_unique<boost::beast::tcp_stream>(loop);
    SetExpiry();
    stream_->async_connect(
        *endpoint,
        [self = shared_from_this()](ErrorCode ec) { self->OnConnected(ec); });
  }

 private:
  void SetExpiry() {
    stream_->expires_after(
        std::max(milliseconds(1),
                 std::chrono::ceil<milliseconds>(deadline_ - clock_.Now())));
  }

  bool TakeIdle() {
    auto& idle = pool_->idle[address_];
    const Instant now = clock_.Now();
    std::erase_if(idle, [now](const IdleConnection& it) {
      return it.unused_until <= now;
    });
    if (idle.empty()) {
      return false;
    }
    stream_ = std::move(idle.back().stream);
    idle.pop_back();
    SetExpiry();
    return true;
  }

  void OnConnected(ErrorCode ec) {
    if (ec) {
      Finish(ec == boost::asio::error::connection_refused
                 ? http::ClientFailure::kRefused
                 : http::ClientFailure::kNotConnected);
      return;
    }
    if (clock_.Now() >= deadline_) {
      Finish(http::ClientFailure::kNotConnected);
      return;
    }
    SetSocketOptions(stream_->socket());
    // A call that times out closes the connection, and must not take effect
    // later: a reset drops what has not been delivered.
    ErrorCode ignored;
    std::ignore = stream_->socket().set_option(
        boost::asio::socket_base::linger(true, 0), ignored);
    Write();
  }

  void Write() {
    beast_http::async_write(*stream_, request_,
                            [self = shared_from_this()](ErrorCode ec, size_t) {
                              if (ec) {
                                self->Fail(ec);
                                return;
                              }
                              self->Read();
                            });
  }

  void Read() {
    parser_.emplace();
    parser_->body_limit(pool_->settings.maximum_body_bytes);
    buffer_.reserve(kClientReadBytes);
    beast_http::async_read(*stream_, buffer_, *parser_,
                           [self = shared_from_this()](ErrorCode ec, size_t) {
                             self->OnRead(ec);
                           });
  }

  void OnRead(ErrorCode ec) {
    if (ec) {
      Fail(ec);
      return;
    }
    if (parser_->get().keep_alive() && buffer_.size() == 0) {
      auto& idle = pool_->idle[address_];
      if (idle.size() < pool_->settings.maximum_idle_connections) {
        stream_->expires_never();
        idle.push_back(
            {std::move(stream_), clock_.Now() + pool_->settings.idle_timeout});
      }
    }
    Finish(FromBeast(parser_->release()));
  }

  void Fail(ErrorCode ec) {
    if (ec == boost::beast::error::timeout) {
      // The path may be silent for good: its other connections go with it.
      pool_->idle.erase(address_);
      Finish(http::ClientFailure::kTimedOut);
    } else if (ec == beast_http::error::partial_message) {
      Finish(http::ClientFailure::kTruncated);
    } else if (ec == beast_http::error::body_limit) {
      Finish(http::ClientFailure::kTooLarge);
    } else {
      Finish(http::ClientFailure::kLost);
    }
  }

  void Finish(http::ClientResult result) {
    stream_.reset();
    const Client::Done done = std::move(done_);
    done(std::move(result));
  }

  const std::shared_ptr<Pool> pool_;
  const Clock& clock_;
  const std::string address_;
  StringRequest request_;
  const Instant deadline_;
  Client::Done done_;
  std::unique_ptr<boost::beast::tcp_stream> stream_;
  boost::beast::flat_buffer buffer_;
  std::optional<beast_http::response_parser<beast_http::string_body>> parser_;
};

}  // namespace

class Client::Private {
 public:
  Private(boost::asio::io_context& loop,
          const ClientSettings& settings,
          const Clock& clock)
      : loop_(loop), clock_(clock), pool_(std::make_shared<Pool>()) {
    pool_->settings = settings;
  }

  void Send(const std::string& address,
            const http::Request& request,
            Instant deadline,
            Done done) {
    std::make_shared<Exchange>(pool_, clock_, address,
                               ToBeast(request, address), deadline,
                               std::move(done))
        ->Start(loop_);
  }

 private:
  boost::asio::io_context& loop_;
  const Clock& clock_;
  const std::shared_ptr<Pool> pool_;
};

Client::Client(boost::asio::io_context& loop,
               const ClientSettings& settings,
               const Clock& clock)
    : private_(std::make_shared<Private>(loop, settings, clock)) {}

Client::~Client() = default;

void Client::Send(const std::string& address,
                  const http::Request& request,
                  Instant deadline,
                  Done done) {
  private_->Send(address, request, deadline, std::move(done));
}

}  // namespace papayadrift::async_http
