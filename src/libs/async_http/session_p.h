#ifndef PAPAYADRIFT_ASYNC_HTTP_SESSION_P_H_
#define PAPAYADRIFT_ASYNC_HTTP_SESSION_P_H_

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

#include "async_http/beast_p.h"
#include "async_http/connection_budget.h"
#include "async_http/server.h"
#include "base/clock.h"

namespace papayadrift::async_http {

// A read asks for this much at first: enough for most requests, and little for
// the thousands of connections that wait.
inline constexpr size_t kFirstReadBytes = 1024;
// Framing of a chunked body may be this many times as large as the body's
// limit: each chunk of one byte takes six.
inline constexpr size_t kFramingFactor = 6;
// How often deadlines are checked.
inline constexpr milliseconds kSweepPeriod(250);
// A peer that still sends what was refused loses the answer when the connection
// is closed with bytes unread. This much is read and dropped first.
inline constexpr size_t kMaxDroppedBytes = size_t{4} << 20;
inline constexpr milliseconds kDropTime(2000);

// Sends the response of one request; to be called once, on the event loop.
// `on_written` hears whether it was written as a whole; it may be empty.
using Reply =
    std::function<void(http::Response, std::function<void(bool)> on_written)>;
// Handles a request; `target` is what its first line names, undecoded.
using ReplyHandler =
    std::function<void(http::Request, const std::string& target, Reply)>;

class Session;
struct ServerState;
// Begins a session on a connection that was accepted.
using StartSession = std::function<void(boost::asio::ip::tcp::socket,
                                        const std::shared_ptr<ServerState>&)>;

// What the sessions of a server share.
struct ServerState : public std::enable_shared_from_this<ServerState> {
  ServerState(boost::asio::io_context& loop,
              ServerSettings server_settings,
              ReplyHandler reply_handler,
              RefusalListener listener)
      : settings(std::move(server_settings)),
        handler(std::move(reply_handler)),
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
  const ReplyHandler handler;
  const RefusalListener on_refused;
  // Makes the response of a refusal; without it, its body is empty.
  std::function<http::Response(int status)> make_refusal;
  // Hears when a request whose header has come begins to wait for its body, and
  // when that ends. May be empty.
  std::function<void(bool is_arriving)> on_arriving;
  // Costs a system call for each request.
  bool tells_remote_address = false;
  const SystemClock clock;
  ConnectionBudget budget;
  std::map<ConnectionBudget::Id, Session*> sessions;
  std::array<char, kServerReadBytes> dropped;  // Read by nobody.
  boost::asio::steady_timer sweep_timer;
  bool is_sweeping = false;
  size_t requests_in_flight = 0;
  bool is_draining = false;
};

// One connection, whatever carries its bytes.
class Session {
 public:
  Session() = default;
  virtual ~Session() = default;
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  // Closes the connection unless a request has begun to arrive or is handled.
  virtual void CloseIfIdle() = 0;
  virtual void Close() = 0;
  virtual void CheckDeadline(Instant now) = 0;
};

// Accepts connections, and begins their sessions.
class Acceptor : public std::enable_shared_from_this<Acceptor> {
 public:
  Acceptor(boost::asio::io_context& loop,
           std::shared_ptr<ServerState> state,
           StartSession start);

  // Begins to listen. Returns false if the address can't be used.
  bool Open();
  void Close();
  // Ends all connections.
  void CloseSessions();
  // Ends each connection after the response under way, and idle ones at once.
  void Drain();
  const ServerState& state() const { return *state_; }

 private:
  void Accept();
  void OnAccept(boost::system::error_code ec,
                boost::asio::ip::tcp::socket socket);
  void Serve(boost::asio::ip::tcp::socket socket);

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  const std::shared_ptr<ServerState> state_;
  const StartSession start_;
};

// A session on a TCP socket, or on a stream over one.
template <typename Stream>
class StreamSession
    : public Session,
      public std::enable_shared_from_this<StreamSession<Stream>> {
 public:
  // `stream` is what a Stream is made from.
  template <typename... Arguments>
  explicit StreamSession(std::shared_ptr<ServerState> shared,
                         Arguments&&... stream)
      : stream_(std::forward<Arguments>(stream)...),
        shared_(std::move(shared)),
        id_(shared_->budget.Add(shared_->clock.Now())),
        buffer_(shared_->settings.maximum_header_bytes + kServerReadBytes) {
    shared_->sessions.emplace(id_, this);
  }
  ~StreamSession() override { Forget(); }

  Stream& stream() { return stream_; }

  // Sets the time within which the stream has to be ready for a request.
  void BeginHandshake() {
    deadline_ = shared_->clock.Now() + shared_->settings.header_timeout;
  }

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
  void CloseIfIdle() override {
    if (phase_ == Phase::kIdle) {
      Close();
    }
  }

  void Close() override {
    if (phase_ == Phase::kClosed) {
      return;
    }
    EndArriving();
    phase_ = Phase::kClosed;
    Forget();
    ErrorCode ignored;
    std::ignore = socket().shutdown(tcp::socket::shutdown_both, ignored);
    std::ignore = socket().close(ignored);
    // Freed at once: what refers to the session may live longer.
    parser_.reset();
    buffer_.clear();
    buffer_.shrink_to_fit();
  }

  void CheckDeadline(Instant now) override {
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

  using tcp = boost::asio::ip::tcp;
  using ErrorCode = boost::system::error_code;

  tcp::socket::lowest_layer_type& socket() { return stream_.lowest_layer(); }

  void Forget() {
    shared_->sessions.erase(id_);
    shared_->budget.Remove(id_);
  }

  void ReadMore() {
    stream_.async_read_some(
        buffer_.prepare(
            std::min(read_bytes_, buffer_.max_size() - buffer_.size())),
        [self = this->shared_from_this()](ErrorCode ec, size_t n) {
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
    if (ec == boost::beast::http::error::need_more) {
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
      if (shared_->on_arriving) {
        shared_->on_arriving(true);
      }
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
    if (ec == boost::beast::http::error::body_limit) {
      return Refusal::kBodyTooLarge;
    }
    return ec == boost::beast::http::error::header_limit
               ? Refusal::kHeaderTooLarge
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

  void EndArriving() {
    if (phase_ == Phase::kBody && shared_->on_arriving) {
      shared_->on_arriving(false);
    }
  }

  void Handle() {
    EndArriving();
    phase_ = Phase::kHandling;
    shared_->budget.BeginHandling(id_);
    if (!Charge()) {
      return;
    }
    ++shared_->requests_in_flight;
    const bool keeps = parser_->get().keep_alive();
    const std::string target(parser_->get().target());
    http::Request request = FromBeast(parser_->release());
    if (shared_->tells_remote_address) {
      ErrorCode ec;
      request.remote_address =
          socket().remote_endpoint(ec).address().to_string();
    }
    parser_.reset();
    shared_->handler(
        std::move(request), target,
        [self = this->shared_from_this(), keeps](
            http::Response response, std::function<void(bool)> on_written) {
          --self->shared_->requests_in_flight;
          self->Answer(std::move(response), keeps, std::move(on_written));
        });
  }

  void Answer(http::Response response,
              bool keeps,
              std::function<void(bool)> on_written) {
    const auto connection = response.headers.find("connection");
    const bool stays =
        keeps && !shared_->is_draining &&
        (connection == response.headers.end() || connection->second != "close");
    response_ = ToBeast(std::move(response), 11);
    response_.keep_alive(stays);
    phase_ = Phase::kWriting;
    const Instant now = shared_->clock.Now();
    deadline_ = now + shared_->settings.response_timeout;
    shared_->budget.BeginWriting(id_, now);
    shared_->budget.SetBytes(id_, buffer_.capacity() + response_.body().size());
    shared_->MakeMemory();
    boost::beast::http::async_write(
        stream_, response_,
        [self = this->shared_from_this(), stays,
         on_written = std::move(on_written)](ErrorCode ec, size_t) {
          self->response_ = {};
          if (on_written) {
            on_written(!ec);
          }
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
    EndArriving();
    phase_ = Phase::kRefusing;
    refusal_ = refusal;
    deadline_ = shared_->clock.Now() + kDropTime;
    ErrorCode ignored;
    std::ignore = socket().cancel(ignored);
  }

  void Refuse(Refusal refusal) {
    shared_->Count(refusal);
    EndArriving();
    phase_ = Phase::kRefusing;
    deadline_ = shared_->clock.Now() + kDropTime;
    parser_.reset();
    buffer_.clear();
    buffer_.shrink_to_fit();
    shared_->budget.SetBytes(id_, 0);
    const int status = StatusOf(refusal);
    response_ = ToBeast(shared_->make_refusal ? shared_->make_refusal(status)
                                              : http::Response{status, {}, {}},
                        11);
    response_.keep_alive(false);
    boost::beast::http::async_write(
        stream_, response_,
        [self = this->shared_from_this()](ErrorCode ec, size_t) {
          if (ec || self->phase_ == Phase::kClosed) {
            self->Close();
            return;
          }
          ErrorCode ignored;
          std::ignore =
              self->socket().shutdown(tcp::socket::shutdown_send, ignored);
          self->Drop();
        });
  }

  // Reads on until the peer has read the refusal and ends.
  void Drop() {
    stream_.async_read_some(
        boost::asio::buffer(shared_->dropped),
        [self = this->shared_from_this()](ErrorCode ec, size_t n) {
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

  Stream stream_;
  const std::shared_ptr<ServerState> shared_;
  const ConnectionBudget::Id id_;
  boost::beast::flat_buffer buffer_;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser_;
  StringResponse response_;
  Phase phase_ = Phase::kIdle;
  std::optional<Refusal> refusal_;  // To be sent after the read.
  Instant deadline_;                // Of the phase.
  Instant message_deadline_;
  size_t message_bytes_ = 0;
  size_t read_bytes_ = kFirstReadBytes;
  size_t dropped_bytes_ = 0;
};

}  // namespace papayadrift::async_http

#endif  // PAPAYADRIFT_ASYNC_HTTP_SESSION_P_H_
