#include "async_http/server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <tuple>
#include <utility>

#include "async_http/session_p.h"

namespace papayadrift::async_http {
namespace {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

// Pause after a failed accept, as when descriptors have run out.
constexpr milliseconds kAcceptPause(50);
// Connections accepted in one turn of the event loop. With one each, hundreds
// that come at once wait for hundreds of turns, which take long in a slow
// process, and are given up before.
constexpr int kMaxAcceptsPerTurn = 64;

}  // namespace

bool ServerState::MakePlace() {
  while (budget.is_full()) {
    const auto chosen = budget.ChooseForPlace(clock.Now());
    Count(Refusal::kPlaceNeeded);
    if (!chosen) {
      return false;
    }
    sessions.at(*chosen)->Close();
  }
  return true;
}

void ServerState::MakeMemory() {
  while (budget.is_over_bytes()) {
    const auto chosen = budget.ChooseForBytes(clock.Now());
    if (!chosen) {
      return;
    }
    Count(Refusal::kMemoryNeeded);
    sessions.at(*chosen)->Close();
  }
}

void ServerState::StartSweeps() {
  if (is_sweeping) {
    return;
  }
  is_sweeping = true;
  sweep_timer.expires_after(kSweepPeriod);
  sweep_timer.async_wait([weak = weak_from_this()](ErrorCode ec) {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    self->is_sweeping = false;
    if (ec) {
      return;
    }
    const Instant now = self->clock.Now();
    // A session that is closed leaves the map.
    for (auto it = self->sessions.begin(); it != self->sessions.end();) {
      Session* const session = it->second;
      ++it;
      session->CheckDeadline(now);
    }
    if (!self->sessions.empty()) {
      self->StartSweeps();
    }
  });
}

Acceptor::Acceptor(boost::asio::io_context& loop,
                   std::shared_ptr<ServerState> state,
                   StartSession start)
    : acceptor_(loop),
      pause_(loop),
      state_(std::move(state)),
      start_(std::move(start)) {}

bool Acceptor::Open() {
  const auto endpoint = EndpointOf(state_->settings.address);
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

void Acceptor::Close() {
  ErrorCode ignored;
  std::ignore = acceptor_.close(ignored);
  pause_.cancel(ignored);
}

void Acceptor::CloseSessions() {
  while (!state_->sessions.empty()) {
    state_->sessions.begin()->second->Close();
  }
}

void Acceptor::Drain() {
  state_->is_draining = true;
  const std::map<ConnectionBudget::Id, Session*> sessions = state_->sessions;
  for (const auto& [id, session] : sessions) {
    session->CloseIfIdle();
  }
}

void Acceptor::Accept() {
  acceptor_.async_accept(
      [self = shared_from_this()](ErrorCode ec, tcp::socket socket) {
        self->OnAccept(ec, std::move(socket));
      });
}

void Acceptor::OnAccept(ErrorCode ec, tcp::socket socket) {
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

void Acceptor::Serve(tcp::socket socket) {
  if (state_->MakePlace()) {
    SetSocketOptions(socket);
    start_(std::move(socket), state_);
    state_->MakeMemory();
    state_->StartSweeps();
  }
}

class Server::Private {
 public:
  Private(boost::asio::io_context& loop,
          ServerSettings settings,
          Handler handler,
          RefusalListener on_refused)
      : acceptor_(std::make_shared<Acceptor>(
            loop,
            std::make_shared<ServerState>(loop,
                                          std::move(settings),
                                          HandlerOf(std::move(handler)),
                                          std::move(on_refused)),
            [](tcp::socket socket, const std::shared_ptr<ServerState>& state) {
              std::make_shared<StreamSession<tcp::socket>>(state,
                                                           std::move(socket))
                  ->Read();
            })) {}
  ~Private() { acceptor_->Close(); }
  Private(const Private&) = delete;
  Private& operator=(const Private&) = delete;

  Acceptor& acceptor() { return *acceptor_; }

 private:
  static ReplyHandler HandlerOf(Handler handler) {
    return
        [handler = std::move(handler)](
            http::Request request, const std::string& /*target*/, Reply reply) {
          handler(std::move(request),
                  [reply = std::move(reply)](http::Response response) {
                    reply(std::move(response), nullptr);
                  });
        };
  }

  const std::shared_ptr<Acceptor> acceptor_;
};

Server::Server(boost::asio::io_context& loop,
               ServerSettings settings,
               Handler handler,
               RefusalListener on_refused)
    : private_(std::make_unique<Private>(loop,
                                         std::move(settings),
                                         std::move(handler),
                                         std::move(on_refused))) {}

Server::~Server() = default;

bool Server::Open() {
  return private_->acceptor().Open();
}

void Server::Drain() {
  private_->acceptor().Drain();
}

size_t Server::requests_in_flight() const {
  return private_->acceptor().state().requests_in_flight;
}

}  // namespace papayadrift::async_http
