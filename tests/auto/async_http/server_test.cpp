#include "async_http/server.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <string>

#include "support/free_port.h"

namespace papayadrift::async_http {
namespace {

using boost::asio::ip::tcp;

// Guards against a busy leader that reads a report half a kilobyte in each turn
// of the event loop.
TEST(ServerTest, ReadsALargeRequestInFewTurns) {
  constexpr size_t kReportBytes = 7 * 1024;
  constexpr size_t kMaxTurns = 8;
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
  while (received == 0 && turns <= kMaxTurns) {
    turns += loop.run_one();
  }
  EXPECT_LE(turns, kMaxTurns);
}

}  // namespace
}  // namespace papayadrift::async_http
