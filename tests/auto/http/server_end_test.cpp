#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include "http/server.h"
#include "process/process_end.h"
#include "raw_socket.h"
#include "support/free_port.h"

namespace papayadrift::http {
namespace {

constexpr int kCallers = 8;
constexpr int kRequestsBeforeEnd = 500;
constexpr int kEnds = 5;

constexpr char kRequest[] =
    "POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n"
    "connection: close\r\n\r\n";

// Connects, asks and resets, for as long as the process lives.
void AskForEver(uint16_t port) {
  while (true) {
    RawSocket socket(port);
    socket.Send(kRequest);
    socket.ReadUntil("\r\n");
    socket.Reset();
  }
}

[[noreturn]] void ServeAndEnd() {
  const uint16_t port = FreePort();
  ServerSettings settings;
  settings.address = "127.0.0.1:" + std::to_string(port);
  std::atomic<int> handled = 0;
  Server server(settings, [&](const Request&, const Respond& respond) {
    ++handled;
    handled.notify_all();
    respond({200, {}, "x"});
  });
  if (!server.Open()) {
    process::EndProcess(1);
  }
  for (int i = 0; i < kCallers; ++i) {
    std::thread(AskForEver, port).detach();
  }
  for (int n = handled; n < kRequestsBeforeEnd; n = handled) {
    handled.wait(n);
  }
  server.Finish();
  process::EndProcess(0);
}

TEST(ServerEndDeathTest, ProcessEndsInOrderWhileCallersConnect) {
  GTEST_FLAG_SET(death_test_style, "threadsafe");
  for (int i = 0; i < kEnds; ++i) {
    EXPECT_EXIT(ServeAndEnd(), testing::ExitedWithCode(0), "");
  }
}

}  // namespace
}  // namespace papayadrift::http
