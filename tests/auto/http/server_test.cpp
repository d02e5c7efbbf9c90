#include "http/server.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.h"
#include "http/client.h"
#include "raw_socket.h"
#include "support/free_port.h"

namespace papayadrift::http {
namespace {

constexpr size_t kBodyLimit = 1000;

class ServerTest : public testing::Test {
 protected:
  // Opens a server with this handler.
  void Open(const Handler& handler) {
    settings_.address = "127.0.0.1:" + std::to_string(port_);
    settings_.maximum_body_bytes = kBodyLimit;
    server_ = std::make_unique<Server>(
        settings_, [this, handler](Request request, Respond respond) {
          ++handled_;
          handler(std::move(request), std::move(respond));
        });
    ASSERT_TRUE(server_->Open());
  }
  void OpenEcho() {
    Open([](Request request, const Respond& respond) {
      respond({201, {{"x-method", request.method}}, std::move(request.body)});
    });
  }

  ClientResult Post(std::string body) {
    return client_.SendAndWait(settings_.address,
                               {"POST", "/a", {}, {}, std::move(body), {}},
                               clock_.Now() + seconds(30));
  }
  int StatusOfPost(std::string body = {}) {
    const ClientResult result = Post(std::move(body));
    const auto* response = std::get_if<Response>(&result);
    return response == nullptr ? 0 : response->status;
  }
  void WaitForNoneInFlight() const {
    while (server_->requests_in_flight() > 0) {
      std::this_thread::yield();
    }
  }

  const SystemClock clock_;
  const uint16_t port_ = FreePort();
  ServerSettings settings_;
  std::unique_ptr<Server> server_;
  std::atomic<int> handled_ = 0;
  Client client_{ClientSettings(), clock_};
};

TEST_F(ServerTest, RequestArrivesWhole) {
  std::promise<Request> seen;
  Open([&](Request request, const Respond& respond) {
    seen.set_value(std::move(request));
    respond({202, {{"x-answer", "yes"}}, "done"});
  });
  const Request request{"PUT",  "/a b/ü", {{"k", "1 & 2"}}, {{"deadline", "5"}},
                        "body", {}};
  const ClientResult result = client_.SendAndWait(settings_.address, request,
                                                  clock_.Now() + seconds(30));
  const Request arrived = seen.get_future().get();
  EXPECT_EQ(arrived.method, request.method);
  EXPECT_EQ(arrived.path, request.path);
  EXPECT_EQ(arrived.query, request.query);
  EXPECT_EQ(arrived.headers.at("deadline"), "5");
  EXPECT_EQ(arrived.body, request.body);
  EXPECT_EQ(arrived.remote_address, "127.0.0.1");
  ASSERT_TRUE(std::holds_alternative<Response>(result));
  EXPECT_EQ(std::get<Response>(result).status, 202);
  EXPECT_EQ(std::get<Response>(result).headers.at("x-answer"), "yes");
  EXPECT_EQ(std::get<Response>(result).body, "done");
}

TEST_F(ServerTest, TornBodyReachesNoHandler) {
  OpenEcho();
  {
    RawSocket caller(port_);
    caller.Send("POST /a HTTP/1.1\r\nContent-Length: 100\r\n\r\nabc");
  }
  {
    RawSocket caller(port_);
    caller.Send(
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  }
  EXPECT_EQ(StatusOfPost("x"), 201);
  WaitForNoneInFlight();
  EXPECT_EQ(handled_, 1);
}

TEST_F(ServerTest, OversizedBodyIsRefused) {
  settings_.body_time_limit = milliseconds(300);
  OpenEcho();
  EXPECT_EQ(StatusOfPost(std::string(kBodyLimit, 'x')), 201);
  EXPECT_EQ(StatusOfPost(std::string(kBodyLimit + 1, 'x')), 413);
  RawSocket chunked_caller(port_);
  chunked_caller.Send(
      "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
      "0\r\n\r\n");
  EXPECT_TRUE(chunked_caller.ReadUntil("\r\n").starts_with("HTTP/1.1 411"));
  // A caller that goes on and on is given up after the time limit.
  RawSocket endless_caller(port_);
  endless_caller.Send(
      "POST /a HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n" +
      std::string(64 << 10, 'x'));
  WaitForNoneInFlight();
  endless_caller.Send(std::string(64 << 10, 'x'));
  EXPECT_EQ(handled_, 1);
  EXPECT_EQ(StatusOfPost("x"), 201);
}

// Guards against refusals that operators don't see.
TEST_F(ServerTest, RefusalsAreTold) {
  std::promise<async_http::Refusal> refused;
  settings_.address = "127.0.0.1:" + std::to_string(port_);
  Server server(
      settings_, [](const Request&, const Respond&) {},
      [&](async_http::Refusal it) { refused.set_value(it); });
  ASSERT_TRUE(server.Open());
  RawSocket caller(port_);
  caller.Send("GET /" + std::string(64 << 10, 'a'));
  EXPECT_EQ(refused.get_future().get(), async_http::Refusal::kHeaderTooLarge);
}

TEST_F(ServerTest, SlowCallersAreCutAndHarmNobody) {
  settings_.body_time_limit = milliseconds(300);
  OpenEcho();
  std::vector<RawSocket> callers;
  for (int n = 0; n < 50; ++n) {
    callers.emplace_back(port_);
    callers.back().Send("POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc");
  }
  std::vector<RawSocket> silent_callers;
  for (int n = 0; n < 50; ++n) {
    silent_callers.emplace_back(port_);
    silent_callers.back().Send("POST /a HT");
  }
  for (int n = 0; n < 100; ++n) {
    EXPECT_EQ(StatusOfPost("x"), 201);
  }
  WaitForNoneInFlight();
  for (RawSocket& caller : callers) {
    caller.Send("defghi");
    EXPECT_TRUE(caller.ReadAll().starts_with("HTTP/1.1 408"));
  }
  WaitForNoneInFlight();
  EXPECT_EQ(handled_, 100);
}

TEST_F(ServerTest, VanishedCallerIsHarmless) {
  std::promise<Respond> first;
  Open([&](const Request&, Respond respond) {
    if (handled_ == 1) {
      return first.set_value(std::move(respond));
    }
    respond({201, {}, {}});
  });
  {
    RawSocket caller(port_);
    caller.Send("POST /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    const Respond respond = first.get_future().get();
    caller.Close();
    EXPECT_EQ(StatusOfPost(), 201);
    respond({200, {}, std::string(1 << 20, 'x')});
    respond({200, {}, "again"});
  }
  WaitForNoneInFlight();
  EXPECT_EQ(StatusOfPost(), 201);
}

TEST_F(ServerTest, RespondTellsWhetherTheResponseWasWritten) {
  std::promise<Respond> responds[2];
  Open([&](const Request& request, Respond respond) {
    responds[request.path == "/reset" ? 0 : 1].set_value(std::move(respond));
  });
  RawSocket vanishing(port_);
  vanishing.Send("POST /reset HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
  RawSocket staying(port_);
  staying.Send("POST /stays HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
  const Respond to_vanished = responds[0].get_future().get();
  const Respond to_staying = responds[1].get_future().get();
  vanishing.Reset();
  // The other end hears of the reset before anything is written.
  std::this_thread::sleep_for(milliseconds(50));
  std::promise<bool> is_written[2];
  std::atomic<int> calls = 0;
  to_vanished({200, {}, "body"}, [&](bool value) {
    ++calls;
    is_written[0].set_value(value);
  });
  to_staying({200, {}, "body"}, [&](bool value) {
    ++calls;
    is_written[1].set_value(value);
  });
  EXPECT_FALSE(is_written[0].get_future().get());
  EXPECT_TRUE(is_written[1].get_future().get());
  EXPECT_TRUE(staying.ReadUntil("body").starts_with("HTTP/1.1 200"));
  WaitForNoneInFlight();
  // A second response is sent to nobody.
  bool was_second_written = true;
  to_staying({200, {}, "again"},
             [&](bool value) { was_second_written = value; });
  EXPECT_FALSE(was_second_written);
  EXPECT_EQ(calls, 2);
}

TEST_F(ServerTest, ForgottenRespondAnswers500) {
  Open([](const Request&, const Respond&) {});
  EXPECT_EQ(StatusOfPost(), 500);
}

TEST_F(ServerTest, OneTooManyInFlightIsRefused) {
  settings_.maximum_requests_in_flight = 1;
  std::promise<Respond> first;
  Open([&](const Request&, Respond respond) {
    first.set_value(std::move(respond));
  });
  auto waiting = std::async([&] { return StatusOfPost(); });
  const Respond respond = first.get_future().get();
  EXPECT_EQ(StatusOfPost(), 503);
  respond({200, {}, {}});
  EXPECT_EQ(waiting.get(), 200);
}

TEST_F(ServerTest, ManyCallersGetTheirOwnAnswers) {
  OpenEcho();
  std::vector<std::future<int>> callers;
  for (int caller = 0; caller < 8; ++caller) {
    callers.push_back(std::async(std::launch::async, [this, caller] {
      int wrong = 0;
      for (int n = 0; n < 50; ++n) {
        const std::string body = std::to_string(caller * 1000 + n);
        const ClientResult result = Post(body);
        const auto* response = std::get_if<Response>(&result);
        wrong += response == nullptr || response->body != body ? 1 : 0;
      }
      return wrong;
    }));
  }
  for (std::future<int>& caller : callers) {
    EXPECT_EQ(caller.get(), 0);
  }
  EXPECT_EQ(handled_, 400);
}

TEST_F(ServerTest, PlannedStopCutsOffNoRequest) {
  constexpr size_t kCallers = 20;
  std::mutex mutex;
  std::vector<Respond> waiting;
  Open([&](const Request&, Respond respond) {
    const std::scoped_lock lock(mutex);
    if (waiting.size() == kCallers) {
      return respond({201, {}, {}});
    }
    waiting.push_back(std::move(respond));
  });
  std::vector<std::future<int>> callers;
  for (size_t n = 0; n < kCallers; ++n) {
    callers.push_back(
        std::async(std::launch::async, [this] { return StatusOfPost(); }));
  }
  const auto arrived = [&] {
    const std::scoped_lock lock(mutex);
    return waiting.size();
  };
  while (arrived() < kCallers) {
    std::this_thread::yield();
  }
  auto stop = std::async(std::launch::async, [this] { server_->Close(); });
  while (StatusOfPost() != 503) {
    std::this_thread::yield();
  }
  EXPECT_GE(server_->requests_in_flight(), kCallers);
  for (const Respond& respond : waiting) {
    respond({200, {}, {}});
  }
  for (std::future<int>& caller : callers) {
    EXPECT_EQ(caller.get(), 200);
  }
  stop.get();
  const ClientResult late = Post({});
  EXPECT_EQ(late, ClientResult(ClientFailure::kNotConnected));
}

TEST_F(ServerTest, FailuresToOpenAreTyped) {
  OpenEcho();
  const auto reason = [](const ServerSettings& settings) {
    Server server(settings, [](const Request&, const Respond&) {});
    EXPECT_FALSE(server.Open());
    return server.last_reason();
  };
  const auto at = [](std::string address) {
    ServerSettings settings;
    settings.address = std::move(address);
    return settings;
  };
  EXPECT_EQ(reason(settings_), ServerFailure::kAddressInUse);
  EXPECT_EQ(reason(at("nowhere")), ServerFailure::kBadAddress);
  EXPECT_EQ(reason(at("127.0.0.1:0")), ServerFailure::kBadAddress);
  ServerSettings secure = settings_;
  secure.certificate_chain_path = "/no/such/file";
  EXPECT_EQ(reason(secure), ServerFailure::kBadCertificate);
}

}  // namespace
}  // namespace papayadrift::http
