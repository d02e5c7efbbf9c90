#include "async_http/client.h"

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <string>
#include <variant>

#include "base/clock.h"

namespace papayadrift::async_http {
namespace {

using boost::asio::ip::tcp;

// Guards against a call that takes effect long after its sender has given it
// up: what a cut holds up is delivered after it, unless the sender resets the
// connection.
TEST(ClientTest, ResetsAConnectionWhoseCallTimedOut) {
  boost::asio::io_context loop;
  tcp::acceptor acceptor(loop, {boost::asio::ip::address_v4::loopback(), 0});
  const ManualClock clock;
  Client client(loop, ClientSettings(), clock);
  std::optional<http::ClientResult> result;
  http::Request request;
  request.method = "POST";
  request.path = "/";
  client.Send("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
              request, clock.Now() + milliseconds(50),
              [&](const http::ClientResult& it) { result = it; });
  loop.run();
  ASSERT_TRUE(result);
  EXPECT_EQ(*result, http::ClientResult(http::ClientFailure::kTimedOut));
  tcp::socket socket = acceptor.accept();
  boost::system::error_code ec;
  std::array<char, 1024> buf{};
  while (!ec) {
    socket.read_some(boost::asio::buffer(buf), ec);
  }
  EXPECT_EQ(ec, boost::asio::error::connection_reset);
}

// The size of what a leader reads at once when it is two seconds late.
constexpr size_t kBodyBytes = 48 * 1024;
// Each is a turn of the event loop, behind all that has become ready meanwhile.
constexpr size_t kMaxTurns = 8;

// Guards against a call that takes seconds in a busy process: its answer was
// read half a kilobyte in each turn of the event loop.
TEST(ClientTest, ReadsALargeAnswerInFewTurns) {
  boost::asio::io_context loop;
  tcp::acceptor acceptor(loop, {boost::asio::ip::address_v4::loopback(), 0});
  const ManualClock clock;
  Client client(loop, ClientSettings(), clock);
  std::optional<http::ClientResult> result;
  http::Request request;
  request.method = "GET";
  request.path = "/";
  client.Send("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
              request, clock.Now() + seconds(60),
              [&](const http::ClientResult& it) { result = it; });
  tcp::socket socket = acceptor.accept();
  std::string received;
  std::array<char, 1024> buf{};
  while (received.find("\r\n\r\n") == std::string::npos) {
    loop.poll();
    boost::system::error_code ec;
    socket.non_blocking(true);
    received.append(buf.data(), socket.read_some(boost::asio::buffer(buf), ec));
  }
  socket.non_blocking(false);
  boost::asio::write(
      socket, boost::asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " +
                                  std::to_string(kBodyBytes) + "\r\n\r\n" +
                                  std::string(kBodyBytes, 'x')));
  size_t turns = 0;
  while (!result && turns <= kMaxTurns) {
    turns += loop.run_one();
  }
  EXPECT_LE(turns, kMaxTurns);
}

// Guards against an order that reaches its runner long after it was checked:
// the process stood still while the connection was made.
TEST(ClientTest, SendsNothingAfterItsDeadline) {
  boost::asio::io_context loop;
  tcp::acceptor acceptor(loop, {boost::asio::ip::address_v4::loopback(), 0});
  ManualClock clock;
  Client client(loop, ClientSettings(), clock);
  std::optional<http::ClientResult> result;
  http::Request request;
  request.method = "POST";
  request.path = "/";
  client.Send("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
              request, clock.Now() + milliseconds(250),
              [&](const http::ClientResult& it) { result = it; });
  clock.Advance(milliseconds(4000));
  loop.run();
  ASSERT_TRUE(result);
  tcp::socket socket = acceptor.accept();
  boost::system::error_code ec;
  std::array<char, 1024> buf{};
  EXPECT_EQ(socket.read_some(boost::asio::buffer(buf), ec), 0U);
}

}  // namespace
}  // namespace papayadrift::async_http
