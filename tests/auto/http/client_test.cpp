#include "http/client.h"

#include <gtest/gtest.h>

#include <atomic>
#include <string>

#include "base/clock.h"
#include "http/server.h"
#include "raw_socket.h"
#include "support/free_port.h"

namespace papayadrift::http {
namespace {

constexpr char kEmptyAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
constexpr char kEndOfHeaders[] = "\r\n\r\n";

const bool kThreadsReady = (InitializeThreads(4), true);

class ClientTest : public testing::Test {
 protected:
  ClientResult Get(const std::string& address,
                   ConnectionUse use = ConnectionUse::kKept) {
    return Send(address, "GET", use);
  }
  ClientResult Send(const std::string& address,
                    const std::string& method,
                    ConnectionUse use,
                    milliseconds limit = seconds(20)) {
    return client_.SendAndWait(address, {method, "/a", {}, {}, {}, {}},
                               clock_.Now() + limit, use);
  }

  // Returns what the client makes of a server that sends just this.
  ClientResult ResultOfAnswer(const std::string& answer) {
    const RawServer server([&](RawSocket socket) {
      socket.ReadUntil(kEndOfHeaders);
      socket.Send(answer);
    });
    return Get(server.address());
  }

  const SystemClock clock_;
  Client client_{ClientSettings{1000, {}}, clock_};
};

TEST_F(ClientTest, RefusedConnectionIsNotConnected) {
  const std::string address = FreeAddress();
  EXPECT_EQ(Get(address), ClientResult(ClientFailure::kNotConnected));
  EXPECT_EQ(Get("no address"), ClientResult(ClientFailure::kNotConnected));
}

TEST_F(ClientTest, PassedDeadlineSendsNothing) {
  std::atomic<int> connections = 0;
  const RawServer server([&](const RawSocket&) { ++connections; });
  EXPECT_EQ(
      Send(server.address(), "GET", ConnectionUse::kKept, milliseconds(0)),
      ClientResult(ClientFailure::kNotConnected));
  EXPECT_EQ(connections, 0);
}

TEST_F(ClientTest, UnansweredRequestIsLostAndNotSentAgain) {
  for (const char* method : {"GET", "POST", "PUT", "DELETE"}) {
    for (const auto use : {ConnectionUse::kKept, ConnectionUse::kFresh}) {
      std::atomic<int> requests = 0;
      const RawServer server([&](RawSocket socket) {
        while (!socket.ReadUntil(kEndOfHeaders).empty()) {
          // The second request on the connection takes effect, unanswered.
          if (++requests % 2 == 0) {
            return;
          }
          socket.Send(kEmptyAnswer);
        }
      });
      EXPECT_EQ(Send(server.address(), method, ConnectionUse::kKept).index(),
                0U);
      const ClientResult result = Send(server.address(), method, use);
      EXPECT_LE(requests, 2) << method;
      if (use == ConnectionUse::kKept) {
        EXPECT_EQ(result, ClientResult(ClientFailure::kLost)) << method;
      }
    }
  }
}

TEST_F(ClientTest, FreshConnectionIsNotHarmedByClosedIdleOnes) {
  std::atomic<int> requests = 0;
  const RawServer server([&](RawSocket socket) {
    socket.ReadUntil(kEndOfHeaders);
    ++requests;
    socket.Send(kEmptyAnswer);
  });
  for (int n = 1; n <= 20; ++n) {
    EXPECT_EQ(Send(server.address(), "POST", ConnectionUse::kFresh).index(),
              0U);
    EXPECT_EQ(requests, n);
  }
}

TEST_F(ClientTest, ClosedIdleConnectionNeverMeansNotConnected) {
  std::atomic<int> requests = 0;
  const RawServer server([&](RawSocket socket) {
    socket.ReadUntil(kEndOfHeaders);
    ++requests;
    socket.Send(kEmptyAnswer);
  });
  for (int n = 1; n <= 20; ++n) {
    const ClientResult result =
        Send(server.address(), "POST", ConnectionUse::kKept);
    EXPECT_TRUE(std::holds_alternative<Response>(result) ||
                result == ClientResult(ClientFailure::kLost));
    EXPECT_LE(requests, n);
  }
}

TEST_F(ClientTest, TornAnswersAreTold) {
  EXPECT_EQ(ResultOfAnswer(""), ClientResult(ClientFailure::kLost));
  EXPECT_EQ(ResultOfAnswer("HTTP/1.1 200 OK\r\nConte"),
            ClientResult(ClientFailure::kLost));
  EXPECT_EQ(ResultOfAnswer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"),
            ClientResult(ClientFailure::kTruncated));
  EXPECT_EQ(ResultOfAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                           "\r\n\r\n3\r\nabc\r\n"),
            ClientResult(ClientFailure::kTruncated));
  EXPECT_EQ(ResultOfAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                           "\r\n\r\n9\r\nabc"),
            ClientResult(ClientFailure::kTruncated));
}

TEST_F(ClientTest, LargeAnswersAreRefused) {
  EXPECT_EQ(ResultOfAnswer("HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n"),
            ClientResult(ClientFailure::kTooLarge));
  EXPECT_EQ(ResultOfAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                           "\r\n\r\n3e9\r\n" +
                           std::string(1001, 'x') + "\r\n0\r\n\r\n"),
            ClientResult(ClientFailure::kTooLarge));
}

TEST_F(ClientTest, RedirectIsNotFollowed) {
  const ClientResult result = ResultOfAnswer(
      "HTTP/1.1 307 Temporary Redirect\r\nLocation: /b\r\n"
      "Content-Length: 0\r\n\r\n");
  ASSERT_TRUE(std::holds_alternative<Response>(result));
  EXPECT_EQ(std::get<Response>(result).status, 307);
}

TEST_F(ClientTest, DeadlineEndsTheWait) {
  for (const char* start :
       {"", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"}) {
    const RawServer server([&](RawSocket socket) {
      socket.ReadUntil(kEndOfHeaders);
      socket.Send(start);
      socket.ReadAll();  // Until the client gives up and closes.
    });
    EXPECT_EQ(
        Send(server.address(), "GET", ConnectionUse::kKept, milliseconds(50)),
        ClientResult(ClientFailure::kTimedOut));
  }
}

TEST_F(ClientTest, AbandonedConnectionIsNotUsedAgain) {
  const RawServer server([&](RawSocket socket) {
    for (;;) {
      const std::string request = socket.ReadUntil(kEndOfHeaders);
      if (request.empty()) {
        return;
      }
      if (request.starts_with("GET")) {
        socket.Send(kEmptyAnswer);
      }
    }
  });
  for (int n = 1; n <= 20; ++n) {
    EXPECT_EQ(Get(server.address()).index(), 0U) << n;
    EXPECT_EQ(
        Send(server.address(), "POST", ConnectionUse::kKept, milliseconds(10)),
        ClientResult(ClientFailure::kTimedOut));
  }
}

}  // namespace
}  // namespace papayadrift::http
