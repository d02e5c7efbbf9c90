#include "async_http/server.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "support/free_port.h"

namespace papayadrift::async_http {
namespace {

using boost::asio::ip::tcp;

constexpr size_t kConnections = 50;
// To accept, and to read in parts.
constexpr int kMaxTurns = 8;
// Ends no response.
constexpr char kNever[] = "\r\n\r\n\r\n";

// Guards against a process with long turns that accepts so few connections that
// those who wait give up before: hundreds of agents connect to a new leader at
// once.
TEST(ServerTest, AcceptsAllThatWaitInOneTurn) {
  boost::asio::io_context loop;
  const std::string address = FreeAddress();
  size_t requests = 0;
  Server server(loop, {address},
                [&](const http::Request& /*request*/, const Respond& respond) {
                  ++requests;
                  respond({200, {}, {}});
                });
  ASSERT_TRUE(server.Open());
  const auto port =
      static_cast<uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
  const tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(), port);
  const std::string text = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  boost::asio::io_context client_loop;
  std::vector<tcp::socket> sockets;
  for (size_t i = 0; i < kConnections; ++i) {
    sockets.emplace_back(client_loop).connect(endpoint);
    boost::asio::write(sockets.back(), boost::asio::buffer(text));
  }
  int turns = 0;
  std::function<void()> count_turn = [&] {
    ++turns;
    boost::asio::post(loop, count_turn);
  };
  count_turn();
  while (requests < kConnections && turns < 10 * kMaxTurns) {
    loop.run_one();
  }
  EXPECT_EQ(requests, kConnections);
  EXPECT_LE(turns, kMaxTurns);
}

// Guards against a busy leader that reads a report half a kilobyte in each turn
// of the event loop.
TEST(ServerTest, ReadsALargeRequestInFewTurns) {
  constexpr size_t kReportBytes = 7 * 1024;
  constexpr size_t kMostTurns = 8;
  boost::asio::io_context loop;
  const std::string address = FreeAddress();
  size_t received = 0;
  Server server(loop, {address},
                [&](const http::Request& it, const Respond& /*respond*/) {
                  received = it.body.size();
                });
  ASSERT_TRUE(server.Open());
  tcp::socket socket(loop);
  socket.connect({boost::asio::ip::address_v4::loopback(),
                  static_cast<uint16_t>(
                      std::stoi(address.substr(address.find(':') + 1)))});
  boost::asio::write(
      socket, boost::asio::buffer("POST / HTTP/1.1\r\nHost: a\r\n"
                                  "Content-Length: " +
                                  std::to_string(kReportBytes) + "\r\n\r\n" +
                                  std::string(kReportBytes, 'x')));
  size_t turns = 0;
  while (received == 0 && turns <= kMostTurns) {
    turns += loop.run_one();
  }
  EXPECT_LE(turns, kMostTurns);
}

// A server that echoes bodies, and raw peers, on one event loop.
class UntrustedPeerTest : public testing::Test {
 protected:
  static constexpr size_t kBodyLimit = 100'000;

  UntrustedPeerTest() {
    settings_.address = FreeAddress();
    settings_.maximum_body_bytes = kBodyLimit;
  }

  void Open() {
    server_ = std::make_unique<Server>(
        loop_, settings_,
        [this](const http::Request& it, const Respond& respond) {
          ++handled_;
          if (holds_answers_) {
            held_.push_back(respond);
            return;
          }
          respond({200, {}, it.body});
        },
        [this](Refusal it) { refusals_.push_back(it); });
    ASSERT_TRUE(server_->Open());
  }

  std::unique_ptr<tcp::socket> Connect() {
    auto socket = std::make_unique<tcp::socket>(loop_);
    socket->connect({boost::asio::ip::address_v4::loopback(),
                     static_cast<uint16_t>(std::stoi(settings_.address.substr(
                         settings_.address.find(':') + 1)))});
    return socket;
  }

  // Sends as the server takes it; what the server no longer reads is lost.
  void Send(tcp::socket& socket, std::string text) {
    auto kept = std::make_shared<std::string>(std::move(text));
    boost::asio::async_write(
        socket, boost::asio::buffer(*kept),
        [kept](boost::system::error_code /*ec*/, size_t /*n*/) {});
  }

  // Returns what arrives until the text ends so, or the server closes.
  std::string ReadUntil(tcp::socket& socket, const std::string& end = kNever) {
    std::string text;
    bool is_closed = false;
    std::array<char, 4096> buf;
    std::function<void()> read = [&] {
      socket.async_read_some(boost::asio::buffer(buf),
                             [&](boost::system::error_code ec, size_t n) {
                               text.append(buf.data(), n);
                               is_closed = static_cast<bool>(ec);
                               if (!ec && !text.ends_with(end)) {
                                 read();
                               }
                             });
    };
    read();
    while (!is_closed && !text.ends_with(end)) {
      loop_.run_one();
    }
    return text;
  }

  static std::string StatusOf(const std::string& text) {
    return text.substr(0, text.find("\r\n"));
  }

  // Sends `text` on a connection of its own, and returns the status line.
  std::string Ask(const std::string& text) {
    const auto socket = Connect();
    Send(*socket, text);
    return StatusOf(ReadUntil(*socket));
  }

  static std::string Post(size_t length) {
    return "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
           "Content-Length: " +
           std::to_string(length) + "\r\n\r\n";
  }
  static std::string Chunked() {
    return "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
  }

  boost::asio::io_context loop_;
  ServerSettings settings_;
  std::unique_ptr<Server> server_;
  std::vector<Refusal> refusals_;
  std::vector<Respond> held_;
  size_t handled_ = 0;
  bool holds_answers_ = false;
};

constexpr size_t kEndless = 1 << 20;

// Guards against memory that grows with what a peer sends besides the body.
TEST_F(UntrustedPeerTest, EndlessPartsAreRefused) {
  struct Case {
    std::string text;
    std::string status;
    Refusal refusal;
  };
  const std::string endless(kEndless, 'a');
  std::string lines;
  while (lines.size() < kEndless) {
    lines += "x-a: b\r\n";
  }
  std::string sizes;
  while (sizes.size() < kEndless) {
    sizes += "1;" + std::string(1000, 'x') + "\r\na\r\n";
  }
  const std::string get = "GET / HTTP/1.1\r\n";
  const std::vector<Case> cases = {
      {get + lines, "431", Refusal::kHeaderTooLarge},
      {get + "x: " + endless, "431", Refusal::kHeaderTooLarge},
      {"GET /" + endless, "431", Refusal::kHeaderTooLarge},
      {Chunked() + "0\r\n" + lines, "431", Refusal::kFramingTooLarge},
      {Chunked() + "0\r\nx: " + endless, "431", Refusal::kFramingTooLarge},
      {Chunked() + "1;" + endless, "431", Refusal::kFramingTooLarge},
      {Chunked() + sizes, "431", Refusal::kFramingTooLarge},
      {Post(kBodyLimit + 1) + endless, "413", Refusal::kBodyTooLarge},
      {Chunked() + "fffff\r\n" + endless, "413", Refusal::kBodyTooLarge},
      {"nonsense\r\n\r\n", "400", Refusal::kMalformed},
  };
  Open();
  for (const Case& it : cases) {
    EXPECT_TRUE(Ask(it.text).starts_with("HTTP/1.1 " + it.status))
        << it.text.substr(0, 120);
    ASSERT_FALSE(refusals_.empty());
    EXPECT_EQ(refusals_.back(), it.refusal) << it.text.substr(0, 120);
  }
  EXPECT_EQ(refusals_.size(), cases.size());
  EXPECT_EQ(handled_, 0U);
}

// Guards against bounds that ordinary clients meet.
TEST_F(UntrustedPeerTest, RequestsWithinTheLimitsAreServed) {
  std::string chunks;
  for (size_t i = 0; i < kBodyLimit; ++i) {
    chunks += "1\r\na\r\n";
  }
  const std::string start = "GET / HTTP/1.1\r\n";
  const std::string end = "\r\nConnection: close\r\n\r\n";
  const std::string name = "x: ";
  const std::string header =
      start + name +
      std::string(settings_.maximum_header_bytes - start.size() - name.size() -
                      end.size(),
                  'a') +
      end;
  ASSERT_EQ(header.size(), settings_.maximum_header_bytes);
  Open();
  for (const std::string& it :
       {header, Post(kBodyLimit) + std::string(kBodyLimit, 'b'),
        Chunked() + chunks + "0\r\n\r\n",
        Chunked() + "1;x=y\r\na\r\n0\r\nx-trailer: b\r\n\r\n"}) {
    EXPECT_TRUE(Ask(it).starts_with("HTTP/1.1 200")) << it.substr(0, 120);
  }
  EXPECT_TRUE(refusals_.empty());
}

// Guards against requests that are lost when several arrive at once.
TEST_F(UntrustedPeerTest, PipelinedRequestsAreAllAnswered) {
  Open();
  const auto socket = Connect();
  const std::string get = "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n";
  Send(*socket, get + "a" + get + "b" + get + "c");
  EXPECT_TRUE(ReadUntil(*socket, "c").ends_with("c"));
  EXPECT_EQ(handled_, 3U);
}

// Guards against peers that keep a connection by a byte now and then: the time
// limits hold for the header and the message as a whole.
TEST_F(UntrustedPeerTest, SlowMessagesAreRefused) {
  settings_.header_timeout = milliseconds(1);
  settings_.message_timeout = milliseconds(2);
  Open();
  EXPECT_TRUE(Ask("GET / HTTP/1.1\r\nx: a").starts_with("HTTP/1.1 408"));
  EXPECT_TRUE(Ask(Post(10) + "abc").starts_with("HTTP/1.1 408"));
  EXPECT_EQ(refusals_,
            (std::vector{Refusal::kHeaderTooSlow, Refusal::kBodyTooSlow}));
  EXPECT_EQ(handled_, 0U);
}

// Guards against connections that are kept without any request.
TEST_F(UntrustedPeerTest, IdleConnectionIsClosedWithoutAnAnswer) {
  settings_.idle_timeout = milliseconds(1);
  Open();
  const auto socket = Connect();
  EXPECT_EQ(ReadUntil(*socket), "");
}

// Guards against responses that are held for a peer that doesn't read.
TEST_F(UntrustedPeerTest, UnreadResponseIsGivenUp) {
  settings_.response_timeout = milliseconds(1);
  holds_answers_ = true;
  Open();
  const auto socket = Connect();
  Send(*socket, Post(0));
  while (held_.empty()) {
    loop_.run_one();
  }
  constexpr size_t kMoreThanBuffers = 64 << 20;
  held_[0]({200, {}, std::string(kMoreThanBuffers, 'x')});
  while (refusals_.empty()) {
    loop_.run_one();
  }
  EXPECT_EQ(refusals_, std::vector{Refusal::kUnread});
}

// Guards against a crowd that keeps ordinary callers out, and against the loss
// of a request that is handled.
TEST_F(UntrustedPeerTest, CrowdGivesWayAndHandledRequestStays) {
  constexpr size_t kPlaces = 4;
  settings_.connections.connections = kPlaces;
  holds_answers_ = true;
  Open();
  const auto first = Connect();
  Send(*first, Post(1) + "a");
  while (held_.empty()) {
    loop_.run_one();
  }
  std::vector<std::unique_ptr<tcp::socket>> crowd;
  for (size_t i = 0; i < 3 * kPlaces; ++i) {
    crowd.push_back(Connect());
    Send(*crowd.back(), "GET / HTTP/1.1\r\n");
  }
  holds_answers_ = false;
  EXPECT_TRUE(Ask(Post(1) + "b").starts_with("HTTP/1.1 200"));
  held_[0]({200, {}, "late"});
  EXPECT_TRUE(ReadUntil(*first).ends_with("late"));
  EXPECT_FALSE(refusals_.empty());
  EXPECT_TRUE(std::ranges::all_of(
      refusals_, [](Refusal it) { return it == Refusal::kPlaceNeeded; }));
}

// Guards against bodies that are held: together they stay within the memory.
TEST_F(UntrustedPeerTest, HeldBodiesGiveWay) {
  constexpr size_t kHolders = 20;
  settings_.connections.bytes = 4 * kBodyLimit;
  Open();
  std::vector<std::unique_ptr<tcp::socket>> crowd;
  for (size_t i = 0; i < kHolders; ++i) {
    crowd.push_back(Connect());
    Send(*crowd.back(), Post(kBodyLimit) + std::string(kBodyLimit - 1, 'a'));
  }
  while (refusals_.size() < kHolders - 4) {
    loop_.run_one();
  }
  EXPECT_TRUE(Ask(Post(kBodyLimit) + std::string(kBodyLimit, 'b'))
                  .starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(std::ranges::all_of(
      refusals_, [](Refusal it) { return it == Refusal::kMemoryNeeded; }));
}

}  // namespace
}  // namespace papayadrift::async_http
