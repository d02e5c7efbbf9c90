#include "async_http/server.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <string>
#include <vector>

#include "support/free_port.h"

namespace papayadrift::async_http {
namespace {

using boost::asio::ip::tcp;

constexpr size_t kConnections = 50;
// To accept, and to read in parts.
constexpr int kMaxTurns = 8;

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

}  // namespace
}  // namespace papayadrift::async_http
