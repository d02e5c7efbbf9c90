#include "streams/stream_node.h"

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <map>
#include <optional>
#include <set>
#include <thread>
#include <tuple>
#include <utility>

#include "streams/message_framing.h"
#include "streams/session.h"

namespace papayadrift::streams {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr size_t kReadBytes = 64 * 1024;
constexpr size_t kWriteBytes = 256 * 1024;
// Pause after a failed accept, as when descriptors have run out.
constexpr milliseconds kAcceptPause(50);

std::optional<tcp::endpoint> EndpointOf(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  error_code ec;
  const auto ip = asio::ip::make_address(address.substr(0, colon), ec);
  const int port = std::atoi(address.c_str() + colon + 1);
  if (ec || port <= 0 || port > UINT16_MAX) {
    return std::nullopt;
  }
  return tcp::endpoint(ip, static_cast<uint16_t>(port));
}

}  // namespace

class StreamNode::Private
    : public std::enable_shared_from_this<StreamNode::Private> {
 public:
  Private(const StreamSettings& settings, StreamListener& listener)
      : settings_(settings),
        listener_(listener),
        acceptor_(context_),
        accept_timer_(context_),
        work_(asio::make_work_guard(context_)) {}

  bool Open() {
    const std::optional<tcp::endpoint> endpoint = EndpointOf(settings_.address);
    if (!endpoint) {
      return false;
    }
    error_code ec;
    if (acceptor_.open(endpoint->protocol(), ec) ||
        acceptor_.set_option(tcp::acceptor::reuse_address(true), ec) ||
        acceptor_.bind(*endpoint, ec) ||
        acceptor_.listen(asio::socket_base::max_listen_connections, ec)) {
      return false;
    }
    Accept();
    thread_ = std::thread([this] { context_.run(); });
    return true;
  }

  void Close() {
    if (!thread_.joinable()) {
      return;  // What nobody runs would keep this object alive for ever.
    }
    asio::post(context_, [self = shared_from_this()] { self->CloseAll(); });
    work_.reset();
    thread_.join();
  }

  void SetAddresses(std::vector<std::string> addresses) {
    asio::post(context_,
               [self = shared_from_this(), addresses = std::move(addresses)] {
                 self->Redial(addresses);
               });
  }

  void Send(ConnectionId id, std::string message) {
    asio::post(context_,
               [self = shared_from_this(), id, message = std::move(message)] {
                 if (Connection* connection = self->Find(id)) {
                   connection->session.Send(Frame(message));
                   self->Write(*connection);
                 }
               });
  }

  void CloseConnection(ConnectionId id) {
    asio::post(context_, [self = shared_from_this(), id] { self->Drop(id); });
  }

 private:
  struct Connection {
    Connection(ConnectionId number,
               SessionSide side,
               tcp::socket stream,
               asio::io_context& context,
               size_t maximum_message_bytes)
        : id(number),
          is_dialed(side == SessionSide::kDialer),
          socket(std::move(stream)),
          session(side),
          splitter(maximum_message_bytes),
          timer(context) {}

    const ConnectionId id;
    const bool is_dialed;
    std::string address;  // Of dialed ones.
    tcp::socket socket;
    Session session;
    MessageSplitter splitter;
    asio::steady_timer timer;
    std::chrono::steady_clock::time_point began_at;
    std::chrono::steady_clock::time_point heard_at;
    std::array<char, kReadBytes> read_buf;
    std::string write_buf;
    bool is_writing = false;
    bool is_announced = false;
  };
  using Shared = std::shared_ptr<Connection>;

  // An address that one connection is kept to.
  struct Target {
    explicit Target(asio::io_context& context) : timer(context) {}

    asio::steady_timer timer;
    milliseconds delay{0};
    std::optional<ConnectionId> connection;
  };

  Connection* Find(ConnectionId id) {
    const auto it = connections_.find(id);
    return it == connections_.end() ? nullptr : it->second.get();
  }

  void Accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](error_code ec, tcp::socket socket) {
          if (self->is_closing_) {
            return;
          }
          if (ec) {
            self->AcceptLater();
            return;
          }
          if (self->MakePlace()) {
            self->Begin(self->Add(SessionSide::kListener, std::move(socket)));
          }
          self->Accept();
        });
  }

  // Descriptors may have run out: without a later attempt nobody would get
  // through any more.
  void AcceptLater() {
    accept_timer_.expires_after(kAcceptPause);
    accept_timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec && !self->is_closing_) {
        self->Accept();
      }
    });
  }

  // If all places are taken, closes the oldest connection that was accepted and
  // has opened no stream. Returns false if there is none.
  bool MakePlace() {
    if (connections_.size() < settings_.maximum_connections) {
      return true;
    }
    const auto chosen = std::ranges::find_if(connections_, [](const auto& it) {
      return !it.second->is_dialed && !it.second->is_announced;
    });
    if (chosen == connections_.end()) {
      return false;
    }
    Drop(chosen->first);
    return true;
  }

  Shared Add(SessionSide side, tcp::socket socket) {
    last_id_ = last_id_.Next();
    auto connection =
        std::make_shared<Connection>(last_id_, side, std::move(socket),
                                     context_, settings_.maximum_message_bytes);
    connections_.emplace(last_id_, connection);
    return connection;
  }

  void Begin(const Shared& connection) {
    error_code ec;
    std::ignore = connection->socket.set_option(tcp::no_delay(true), ec);
    connection->heard_at = std::chrono::steady_clock::now();
    connection->began_at = connection->heard_at;
    StartTimer(connection);
    Read(connection);
    Write(*connection);
  }

  void Redial(const std::vector<std::string>& addresses) {
    if (is_closing_) {
      return;
    }
    const std::set<std::string> wanted(addresses.begin(), addresses.end());
    for (auto it = targets_.begin(); it != targets_.end();) {
      if (wanted.contains(it->first)) {
        ++it;
        continue;
      }
      const std::optional<ConnectionId> connection = it->second->connection;
      it->second->timer.cancel();
      it = targets_.erase(it);
      if (connection) {
        Drop(*connection);
      }
    }
    for (const std::string& address : wanted) {
      if (!targets_.contains(address)) {
        targets_.emplace(address, std::make_unique<Target>(context_));
        Dial(address);
      }
    }
  }

  void Dial(const std::string& address) {
    const std::optional<tcp::endpoint> endpoint = EndpointOf(address);
    if (!endpoint) {
      return;
    }
    const Shared connection = Add(SessionSide::kDialer, tcp::socket(context_));
    connection->address = address;
    targets_.at(address)->connection = connection->id;
    connection->timer.expires_after(settings_.connect_timeout);
    connection->timer.async_wait(
        [self = shared_from_this(), connection](error_code ec) {
          if (!ec) {
            self->Drop(connection->id);
          }
        });
    connection->socket.async_connect(
        *endpoint, [self = shared_from_this(), connection](error_code ec) {
          if (ec) {
            self->Drop(connection->id);
          } else if (self->Find(connection->id) != nullptr) {
            self->Begin(connection);
          }
        });
  }

  void DialLater(const std::string& address) {
    const auto it = targets_.find(address);
    if (it == targets_.end() || is_closing_) {
      return;
    }
    Target& target = *it->second;
    target.connection.reset();
    target.delay = std::clamp(target.delay * 2, settings_.first_redial_delay,
                              settings_.longest_redial_delay);
    target.timer.expires_after(target.delay);
    target.timer.async_wait(
        [self = shared_from_this(), address](error_code ec) {
          if (!ec && !self->is_closing_ && self->targets_.contains(address)) {
            self->Dial(address);
          }
        });
  }

  // Pings, and closes what is silent.
  void StartTimer(const Shared& connection) {
    connection->timer.expires_after(settings_.ping_period);
    connection->timer.async_wait([self = shared_from_this(),
                                  connection](error_code ec) {
      if (ec || self->Find(connection->id) == nullptr) {
        return;
      }
      // Without a stream, what comes doesn't count: pings could keep a
      // connection for ever.
      const auto silence = std::chrono::steady_clock::now() -
                           (connection->is_announced ? connection->heard_at
                                                     : connection->began_at);
      if (silence > self->settings_.silence_timeout) {
        self->Drop(connection->id);
        return;
      }
      connection->session.Ping();
      self->Write(*connection);
      self->StartTimer(connection);
    });
  }

  void Read(const Shared& connection) {
    connection->socket.async_read_some(
        asio::buffer(connection->read_buf),
        [self = shared_from_this(), connection](error_code ec, size_t n) {
          if (self->Find(connection->id) == nullptr) {
            return;
          }
          if (ec || !self->Take(*connection, n)) {
            self->Drop(connection->id);
            return;
          }
          // The listener may have closed it.
          if (self->Find(connection->id) != nullptr) {
            self->Write(*connection);
            self->Read(connection);
          }
        });
  }

  bool Take(Connection& connection, size_t n) {
    connection.heard_at = std::chrono::steady_clock::now();
    if (!connection.session.Receive({connection.read_buf.data(), n})) {
      return false;
    }
    if (connection.session.is_open() && !connection.is_announced) {
      connection.is_announced = true;
      if (connection.is_dialed) {
        targets_.at(connection.address)->delay = milliseconds(0);
      }
      listener_.OnOpened(connection.id, connection.is_dialed);
    }
    std::optional<std::vector<std::string>> messages =
        connection.splitter.Add(connection.session.TakeBody());
    if (!messages) {
      return false;
    }
    for (std::string& message : *messages) {
      listener_.OnMessage(connection.id, std::move(message));
    }
    return true;
  }

  void Write(Connection& connection) {
    if (connection.session.queued_bytes() > settings_.maximum_queued_bytes) {
      Drop(connection.id);
      return;
    }
    if (connection.is_writing || !connection.socket.is_open()) {
      return;
    }
    connection.write_buf = connection.session.TakeOutput(kWriteBytes);
    if (connection.write_buf.empty()) {
      return;
    }
    connection.is_writing = true;
    asio::async_write(
        connection.socket, asio::buffer(connection.write_buf),
        [self = shared_from_this(), kept = connections_.at(connection.id)](
            error_code ec, size_t) {
          kept->is_writing = false;
          if (self->Find(kept->id) == nullptr) {
            return;
          }
          if (ec) {
            self->Drop(kept->id);
            return;
          }
          self->Write(*kept);
        });
  }

  void Drop(ConnectionId id) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) {
      return;
    }
    const Shared connection = it->second;
    connections_.erase(it);
    connection->timer.cancel();
    error_code ec;
    std::ignore = connection->socket.close(ec);
    if (connection->is_announced && !is_closing_) {
      listener_.OnClosed(id);
    }
    const auto target = targets_.find(connection->address);
    if (connection->is_dialed && target != targets_.end() &&
        target->second->connection == id) {
      DialLater(connection->address);
    }
  }

  void CloseAll() {
    is_closing_ = true;
    error_code ec;
    std::ignore = acceptor_.close(ec);
    accept_timer_.cancel();
    for (auto& [address, target] : targets_) {
      target->timer.cancel();
    }
    while (!connections_.empty()) {
      Drop(connections_.begin()->first);
    }
  }

  const StreamSettings settings_;
  StreamListener& listener_;
  asio::io_context context_;
  tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::map<ConnectionId, Shared> connections_;
  std::map<std::string, std::unique_ptr<Target>> targets_;
  ConnectionId last_id_;
  bool is_closing_ = false;
  std::thread thread_;
};

StreamNode::StreamNode(const StreamSettings& settings, StreamListener& listener)
    : private_(std::make_shared<Private>(settings, listener)) {}

StreamNode::~StreamNode() {
  Close();
}

bool StreamNode::Open() {
  return private_->Open();
}

void StreamNode::Close() {
  private_->Close();
}

void StreamNode::SetAddresses(std::vector<std::string> addresses) {
  private_->SetAddresses(std::move(addresses));
}

void StreamNode::Send(ConnectionId connection, std::string message) {
  private_->Send(connection, std::move(message));
}

void StreamNode::CloseConnection(ConnectionId connection) {
  private_->CloseConnection(connection);
}

}  // namespace papayadrift::streams
