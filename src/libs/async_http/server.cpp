#include "async_http/server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

#include "async_http/beast_p.h"

namespace papayadrift::async_http {
namespace {

using boost::asio::ip::tcp;
namespace beast_http = boost::beast::http;
using ErrorCode = boost::system::error_code;

// Pause after a failed accept, as when descriptors have run out.
constexpr milliseconds kAcceptPause(50);
// Connections accepted in one turn of the event loop. With one each, hundreds
// that come at once wait for hundreds of turns, which take long in a slow
// process, and are given up before.
constexpr int kMaxAcceptsPerTurn = 64;

class Session;

// What the sessions of a server share.
struct Shared {
  ServerSettings settings;
  Handler handler;
  std::set<Session*> sessions;
  size_t requests_in_flight = 0;
  bool is_draining = false;
};

class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket, std::shared_ptr<Shared> shared)
      : stream_(std::move(socket)), shared_(std::move(shared)) {
    buffer_.reserve(kServerReadBytes);
    shared_->sessions.insert(this);
  }
  ~Session() { shared_->sessions.erase(this); }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void Read() {
    parser_.emplace();
    parser_->header_limit(
        static_cast<uint32_t>(shared_->settings.maximum_header_bytes));
    parser_->body_limit(shared_->settings.maximum_body_bytes);
    stream_.expires_after(shared_->settings.idle_timeout);
    beast_http::async_read(stream_, buffer_, *parser_,
                           [self = shared_from_this()](ErrorCode ec, size_t) {
                             self->OnRead(ec);
                           });
  }

  // Closes the connection unless a request has begun to arrive or is handled.
  void CloseIfIdle() {
    if (!is_handling_ && buffer_.size() == 0 &&
        !(parser_ && parser_->got_some())) {
      Close();
    }
  }

 private:
  void Close() {
    ErrorCode ignored;
    std::ignore =
        stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream_.close();
  }

  void OnRead(ErrorCode ec) {
    if (ec == beast_http::error::body_limit) {
      Answer(http::Response{413, {}, {}}, false);
      return;
    }
    if (ec == beast_http::error::header_limit) {
      Answer(http::Response{431, {}, {}}, false);
      return;
    }
    if (ec) {
      Close();
      return;
    }
    stream_.expires_never();
    is_handling_ = true;
    ++shared_->requests_in_flight;
    const bool keeps = parser_->get().keep_alive();
    http::Request request = FromBeast(parser_->release());
    shared_->handler(std::move(request), [self = shared_from_this(),
                                          keeps](http::Response response) {
      --self->shared_->requests_in_flight;
      self->Answer(std::move(response), keeps);
    });
  }

  void Answer(http::Response response, bool keeps) {
    const bool stays = keeps && !shared_->is_draining;
    response_ = ToBeast(std::move(response), 11);
    response_.keep_alive(stays);
    stream_.expires_after(shared_->settings.idle_timeout);
    beast_http::async_write(
        stream_, response_,
        [self = shared_from_this(), stays](ErrorCode ec, size_t) {
          self->is_handling_ = false;
          if (ec || !stays) {
            self->Close();
            return;
          }
          self->Read();
        });
  }

  boost::beast::tcp_stream stream_;
  const std::shared_ptr<Shared> shared_;
  boost::beast::flat_buffer buffer_;
  struct Parser : beast_http::request_parser<beast_http::string_body> {
    // Whether bytes of a request have been read.
    bool got_some() const {
      return const_cast<Parser*>(this)->get().method() !=
                 beast_http::verb::unknown ||
             is_header_done();
    }
  };
  std::optional<Parser> parser_;
  StringResponse response_;
  bool is_handling_ = false;
};

}  // namespace

class Server::Private : public std::enable_shared_from_this<Private> {
 public:
  Private(boost::asio::io_context& loop,
          ServerSettings settings,
          Handler handler)
      : acceptor_(loop), pause_(loop), shared_(std::make_shared<Shared>()) {
    shared_->settings = std::move(settings);
    shared_->handler = std::move(handler);
  }

  bool Open() {
    const auto endpoint = EndpointOf(shared_->settings.address);
    if (!endpoint) {
      return false;
    }
    ErrorCode ec;
    std::ignore = acceptor_.open(endpoint->protocol(), ec);
    std::ignore =
        acceptor_.set_option(boost::asio::socket_base::reuse_address(true), ec);
    std::ignore = acceptor_.bind(*endpoint, ec);
    if (ec) {
      return false;
    }
    std::ignore =
        acceptor_.listen(boost::asio::socket_base::max_listen_connections, ec);
    if (ec) {
      return false;
    }
    std::ignore = acceptor_.non_blocking(true, ec);
    if (ec) {
      return false;
    }
    Accept();
    return true;
  }

  void Drain() {
    shared_->is_draining = true;
    const std::set<Session*> sessions = shared_->sessions;
    for (Session* session : sessions) {
      session->CloseIfIdle();
    }
  }

  void Close() {
    ErrorCode ignored;
    std::ignore = acceptor_.close(ignored);
    pause_.cancel(ignored);
  }

  size_t requests_in_flight() const { return shared_->requests_in_flight; }

 private:
  void Accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](ErrorCode ec, tcp::socket socket) {
          self->OnAccept(ec, std::move(socket));
        });
  }

  void OnAccept(ErrorCode ec, tcp::socket socket) {
    if (!acceptor_.is_open()) {
      return;
    }
    if (ec) {
      pause_.expires_after(kAcceptPause);
      pause_.async_wait([self = shared_from_this()](ErrorCode wait_ec) {
        if (!wait_ec) {
          self->Accept();
        }
      });
      return;
    }
    Serve(std::move(socket));
    for (int i = 1; i < kMaxAcceptsPerTurn; ++i) {
      tcp::socket next = acceptor_.accept(ec);
      if (ec) {
        break;
      }
      Serve(std::move(next));
    }
    Accept();
  }

  void Serve(tcp::socket socket) {
    if (shared_->sessions.size() < shared_->settings.maximum_connections) {
      SetSocketOptions(socket);
      std::make_shared<Session>(std::move(socket), shared_)->Read();
    }
  }

  tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  const std::shared_ptr<Shared> shared_;
};

Server::Server(boost::asio::io_context& loop,
               ServerSettings settings,
               Handler handler)
    : private_(std::make_shared<Private>(loop,
                                         std::move(settings),
                                         std::move(handler))) {}

Server::~Server() {
  private_->Close();
}

bool Server::Open() {
  return private_->Open();
}

void Server::Drain() {
  private_->Drain();
}

size_t Server::requests_in_flight() const {
  return private_->requests_in_flight();
}

}  // namespace papayadrift::async_http
