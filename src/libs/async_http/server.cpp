#include "async_http/server.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <tuple>
#include <utility>

#include "async_http/beast_p.h"
#include "base/clock.h"

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

// A read asks for this much at first: enough for most requests, and little for
// the thousands of connections that wait.
constexpr size_t kFirstReadBytes = 1024;
// Framing of a chunked body may be this many times as large as the body's
// limit: each chunk of one byte takes six.
constexpr size_t kFramingFactor = 6;
// How often deadlines are checked.
constexpr milliseconds kSweepPeriod(250);
// A peer that still sends what was refused loses the answer when the connection
// is closed with bytes unread. This much is read and dropped first.
constexpr size_t kMaxDroppedBytes = size_t{4} << 20;
constexpr milliseconds kDropTime(2000);

class Session;

// What the sessions of a server share.
struct Shared : public std::enable_shared_from_this<Shared> {
  Shared(boost::asio::io_context& loop,
         ServerSettings server_settings,
         Handler server_handler,
         RefusalListener listener)
      : settings(std::move(server_settings)),
        handler(std::move(server_handler)),
        on_refused(std::move(listener)),
        budget(settings.connections),
        sweep_timer(loop) {}

  void Count(Refusal refusal) const {
    if (on_refused) {
      on_refused(refusal);
    }
  }
  // Makes a place; returns false if there is none.
  bool MakePlace();
  // Closes connections until the rest holds no more than it may.
  void MakeMemory();
  // Keeps deadlines while there are connections.
  void StartSweeps();

  const ServerSettings settings;
  const Handler handler;
  const RefusalListener on_refused;
  const SystemClock clock;
  ConnectionBudget budget;
  std::map<ConnectionBudget::Id, Session*> sessions;
  std::array<char, kServerReadBytes> dropped;  // Read by nobody.
  boost::asio::steady_timer sweep_timer;
  bool is_sweeping = false;
  size_t requests_in_flight = 0;
  bool is_draining = false;
};

class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket, std::shared_ptr<Shared> shared)
      : stream_(std::move(socket)),
        shared_(std::move(shared)),
        id_(shared_->budget.Add(shared_->clock.Now())),
        buffer_(shared_->settings.maximum_header_bytes + kServerReadBytes) {
    shared_->sessions.emplace(id_, this);
  }
  ~Session() { Forget(); }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  // Waits for a request.
  void Read() {
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(
        static_cast<uint32_t>(shared_->settings.maximum_header_bytes));
    parser_->body_limit(shared_->settings.maximum_body_bytes);
    phase_ = Phase::kIdle;
    message_bytes_ = 0;
    read_bytes_ = kFirstReadBytes;
    deadline_ = shared_->clock.Now() + shared_->settings.idle_timeout;
    if (buffer_.size() > 0) {
      Parse(buffer_.size());
      return;
    }
    buffer_.shrink_to_fit();
    ReadMore();
  }

  // Closes the connection unless a request has begun to arrive or is handled.
  void CloseIfIdle() {
    if (phase_ == Phase::kIdle) {
      Close();
    }
  }

  void Close() {
    if (phase_ == Phase::kClosed) {
      return;
    }
    phase_ = Phase::kClosed;
    Forget();
    ErrorCode ignored;
    std::ignore = stream_.shutdown(tcp::socket::shutdown_both, ignored);
    std::ignore = stream_.close(ignored);
    // Freed at once: what refers to the session may live longer.
    parser_.reset();
    buffer_.clear();
    buffer_.shrink_to_fit();
  }

  void CheckDeadline(Instant now) {
    if (now < deadline_) {
      return;
    }
    switch (phase_) {
      case Phase::kHandling:
      case Phase::kClosed:
        break;
      case Phase::kHeader:
        Expire(Refusal::kHeaderTooSlow);
        break;
      case Phase::kBody:
        Expire(Refusal::kBodyTooSlow);
        break;
      case Phase::kWriting:
        shared_->Count(Refusal::kUnread);
        Close();
        break;
      case Phase::kIdle:
      case Phase::kRefusing:
        Close();
        break;
    }
  }

 private:
  enum class Phase {
    kIdle,  // No byte of the next request has come.
    kHeader,
    kBody,
    kHandling,
    kWriting,
    kRefusing,
    kClosed,
  };

  void Forget() {
    shared_->sessions.erase(id_);
    shared_->budget.Remove(id_);
  }

  void ReadMore() {
    stream_.async_read_some(
        buffer_.prepare(
            std::min(read_bytes_, buffer_.max_size() - buffer_.size())),
        [self = shared_from_this()](ErrorCode ec, size_t n) {
          self->OnRead(ec, n);
        });
  }

  void OnRead(ErrorCode ec, size_t n) {
    if (phase_ == Phase::kRefusing && refusal_) {
      Refuse(*std::exchange(refusal_, std::nullopt));
      return;
    }
    if (phase_ == Phase::kClosed) {
      return;
    }
    if (ec) {
      Close();
      return;
    }
    buffer_.commit(n);
    if (n == read_bytes_) {
      read_bytes_ = kServerReadBytes;
    }
    Parse(n);
  }

  // Parses what the buffer holds, of which `n` bytes are new.
  void Parse(size_t n) {
    message_bytes_ += n;
    if (phase_ == Phase::kIdle) {
      const Instant now = shared_->clock.Now();
      phase_ = Phase::kHeader;
      message_deadline_ = now + shared_->settings.message_timeout;
      deadline_ = now + shared_->settings.header_timeout;
      shared_->budget.BeginMessage(id_, now);
    }
    ErrorCode ec;
    buffer_.consume(parser_->put(buffer_.data(), ec));
    if (ec == beast_http::error::need_more) {
      ec = {};
    }
    if (ec) {
      Refuse(RefusalOf(ec));
      return;
    }
    if (parser_->is_done()) {
      Handle();
      return;
    }
    if (phase_ == Phase::kHeader && parser_->is_header_done()) {
      phase_ = Phase::kBody;
      deadline_ = message_deadline_;
    }
    // With the header behind it, what isn't parsed is a chunk's size with its
    // extensions, or trailers.
    if (message_bytes_ > MaximumMessageBytes() ||
        buffer_.size() > shared_->settings.maximum_header_bytes) {
      Refuse(Refusal::kFramingTooLarge);
      return;
    }
    if (!Charge()) {
      return;
    }
    ReadMore();
  }

  size_t MaximumMessageBytes() const {
    const ServerSettings& settings = shared_->settings;
    return 3 * settings.maximum_header_bytes +
           kFramingFactor * settings.maximum_body_bytes;
  }

  static Refusal RefusalOf(ErrorCode ec) {
    if (ec == beast_http::error::body_limit) {
      return Refusal::kBodyTooLarge;
    }
    return ec == beast_http::error::header_limit ? Refusal::kHeaderTooLarge
                                                 : Refusal::kMalformed;
  }

  static int StatusOf(Refusal refusal) {
    switch (refusal) {
      case Refusal::kHeaderTooLarge:
      case Refusal::kFramingTooLarge:
        return 431;
      case Refusal::kBodyTooLarge:
        return 413;
      case Refusal::kHeaderTooSlow:
      case Refusal::kBodyTooSlow:
        return 408;
      default:
        return 400;
    }
  }

  // States what the message holds; returns whether the connection is left.
  bool Charge() {
    const auto& message = parser_->get();
    // A body of announced length takes memory as it arrives, a chunked one
    // also for what it may grow to.
    shared_->budget.SetBytes(
        id_, buffer_.capacity() + (message.chunked() ? message.body().capacity()
                                                     : message.body().size()));
    shared_->MakeMemory();
    return phase_ != Phase::kClosed;
  }

  void Handle() {
    phase_ = Phase::kHandling;
    shared_->budget.BeginHandling(id_);
    if (!Charge()) {
      return;
    }
    ++shared_->requests_in_flight;
    const bool keeps = parser_->get().keep_alive();
    http::Request request = FromBeast(parser_->release());
    parser_.reset();
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
    phase_ = Phase::kWriting;
    const Instant now = shared_->clock.Now();
    deadline_ = now + shared_->settings.response_timeout;
    shared_->budget.BeginWriting(id_, now);
    shared_->budget.SetBytes(id_, buffer_.capacity() + response_.body().size());
    shared_->MakeMemory();
    beast_http::async_write(
        stream_, response_,
        [self = shared_from_this(), stays](ErrorCode ec, size_t) {
          self->response_ = {};
          if (self->phase_ == Phase::kClosed) {
            return;
          }
          if (ec || !stays) {
            self->Close();
            return;
          }
          self->shared_->budget.SetBytes(self->id_, 0);
          self->shared_->budget.BeginWaiting(self->id_,
                                             self->shared_->clock.Now());
          self->Read();
        });
  }

  // Refuses what is being read, once the read has been given up.
  void Expire(Refusal refusal) {
    phase_ = Phase::kRefusing;
    refusal_ = refusal;
    deadline_ = shared_->clock.Now() + kDropTime;
    ErrorCode ignored;
    std::ignore = stream_.cancel(ignored);
  }

  void Refuse(Refusal refusal) {
    shared_->Count(refusal);
    phase_ = Phase::kRefusing;
    deadline_ = shared_->clock.Now() + kDropTime;
    parser_.reset();
    buffer_.clear();
    buffer_.shrink_to_fit();
    shared_->budget.SetBytes(id_, 0);
    response_ = ToBeast(http::Response{StatusOf(refusal), {}, {}}, 11);
    response_.keep_alive(false);
    beast_http::async_write(
        stream_, response_, [self = shared_from_this()](ErrorCode ec, size_t) {
          if (ec || self->phase_ == Phase::kClosed) {
            self->Close();
            return;
          }
          ErrorCode ignored;
          std::ignore =
              self->stream_.shutdown(tcp::socket::shutdown_send, ignored);
          self->Drop();
        });
  }

  // Reads on until the peer has read the refusal and ends.
  void Drop() {
    stream_.async_read_some(
        boost::asio::buffer(shared_->dropped),
        [self = shared_from_this()](ErrorCode ec, size_t n) {
          self->dropped_bytes_ += n;
          if (ec || self->dropped_bytes_ > kMaxDroppedBytes) {
            self->Close();
            return;
          }
          if (self->phase_ != Phase::kClosed) {
            self->Drop();
          }
        });
  }

  tcp::socket stream_;
  const std::shared_ptr<Shared> shared_;
  const ConnectionBudget::Id id_;
  boost::beast::flat_buffer buffer_;
  std::optional<beast_http::request_parser<beast_http::string_body>> parser_;
  StringResponse response_;
  Phase phase_ = Phase::kIdle;
  std::optional<Refusal> refusal_;  // To be sent after the read.
  Instant deadline_;                // Of the phase.
  Instant message_deadline_;
  size_t message_bytes_ = 0;
  size_t read_bytes_ = kFirstReadBytes;
  size_t dropped_bytes_ = 0;
};

bool Shared::MakePlace() {
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

void Shared::MakeMemory() {
  while (budget.is_over_bytes()) {
    const auto chosen = budget.ChooseForBytes(clock.Now());
    if (!chosen) {
      return;
    }
    Count(Refusal::kMemoryNeeded);
    sessions.at(*chosen)->Close();
  }
}

void Shared::StartSweeps() {
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

}  // namespace

std::span<const Refusal> AllRefusals() {
  static constexpr std::array kRefusals = {
      Refusal::kMalformed,     Refusal::kHeaderTooLarge,
      Refusal::kBodyTooLarge,  Refusal::kFramingTooLarge,
      Refusal::kHeaderTooSlow, Refusal::kBodyTooSlow,
      Refusal::kPlaceNeeded,   Refusal::kMemoryNeeded,
      Refusal::kUnread};
  return kRefusals;
}

std::string_view ToText(Refusal refusal) {
  switch (refusal) {
    case Refusal::kMalformed:
      return "malformed";
    case Refusal::kHeaderTooLarge:
      return "header_too_large";
    case Refusal::kBodyTooLarge:
      return "body_too_large";
    case Refusal::kFramingTooLarge:
      return "framing_too_large";
    case Refusal::kHeaderTooSlow:
      return "header_too_slow";
    case Refusal::kBodyTooSlow:
      return "body_too_slow";
    case Refusal::kPlaceNeeded:
      return "connections";
    case Refusal::kMemoryNeeded:
      return "memory";
    case Refusal::kUnread:
      return "response_unread";
  }
  return "";
}

class Server::Private : public std::enable_shared_from_this<Private> {
 public:
  Private(boost::asio::io_context& loop,
          ServerSettings settings,
          Handler handler,
          RefusalListener on_refused)
      : acceptor_(loop),
        pause_(loop),
        shared_(std::make_shared<Shared>(loop,
                                         std::move(settings),
                                         std::move(handler),
                                         std::move(on_refused))) {}

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
    const std::map<ConnectionBudget::Id, Session*> sessions = shared_->sessions;
    for (const auto& [id, session] : sessions) {
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
    if (shared_->MakePlace()) {
      SetSocketOptions(socket);
      std::make_shared<Session>(std::move(socket), shared_)->Read();
      shared_->MakeMemory();
      shared_->StartSweeps();
    }
  }

  tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  const std::shared_ptr<Shared> shared_;
};

Server::Server(boost::asio::io_context& loop,
               ServerSettings settings,
               Handler handler,
               RefusalListener on_refused)
    : private_(std::make_shared<Private>(loop,
                                         std::move(settings),
                                         std::move(handler),
                                         std::move(on_refused))) {}

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
