#include "log/http_log.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <memory>
#include <thread>

#include "../http/raw_socket.h"
#include "http/server.h"
#include "standins/log/log_service.h"
#include "support/free_port.h"

namespace papayadrift::log {
namespace {

const bool kThreadsReady = (http::InitializeThreads(4), true);
constexpr size_t kRetainedRecords = 3;
const StreamId kStream("decisions-north");

// A log and a client of it, over loopback.
class HttpLogTest : public testing::Test {
 protected:
  HttpLogTest() { EXPECT_TRUE(server_.Open()); }
  ~HttpLogTest() override {
    is_over_ = true;
    ticker_.join();
    // Answers are lost by intent; their calls end with the service.
    service_.reset();
    server_.Close();
  }

  http::ServerSettings Settings() const {
    http::ServerSettings settings;
    settings.address = address_;
    return settings;
  }
  AppendResult Append(std::string bytes) {
    std::promise<AppendResult> result;
    log_.Append(kStream, std::move(bytes),
                [&](AppendResult value) { result.set_value(value); });
    return result.get_future().get();
  }
  ReadResult Read(Offset from, uint32_t wait_milliseconds = 0) {
    std::promise<ReadResult> result;
    log_.Read(kStream, from, 100, wait_milliseconds,
              [&](ReadResult value) { result.set_value(std::move(value)); });
    return result.get_future().get();
  }
  void SetFaults(std::string json) {
    const auto result = client_.SendAndWait(
        address_, {"PUT", "/standin/faults", {}, {}, std::move(json), {}},
        clock_.Now() + seconds(20));
    EXPECT_EQ(std::get<http::Response>(result).status, 200);
  }

  const SystemClock clock_;
  const std::string address_ = FreeAddress();
  std::unique_ptr<standins::LogService> service_ =
      std::make_unique<standins::LogService>(kRetainedRecords, clock_);
  http::Server server_{
      Settings(), [this](const http::Request& request, http::Respond respond) {
        service_->Handle(request, std::move(respond));
      }};
  std::atomic<bool> is_over_ = false;
  std::thread ticker_{[this] {
    while (!is_over_) {
      service_->OnTime();
      std::this_thread::sleep_for(milliseconds(1));
    }
  }};
  http::Client client_{http::ClientSettings(), clock_};
  HttpLog log_{{address_, milliseconds(500)}, client_, clock_};
};

TEST_F(HttpLogTest, AppendsAreReadBackWithinRetention) {
  for (uint64_t n = 1; n <= 4; ++n) {
    EXPECT_EQ(Append(std::string("a\0b", 3) + std::to_string(n)),
              AppendResult(Appended{Offset(n)}));
  }
  EXPECT_EQ(Read(Offset(1)), ReadResult(ReadTooOld{Offset(2), Offset(5)}));
  const auto read = std::get<ReadRecords>(Read(Offset(2)));
  ASSERT_EQ(read.records.size(), 3U);
  EXPECT_EQ(read.records[0].bytes, std::string("a\0b2", 4));
}

TEST_F(HttpLogTest, LongPollEndsWithAnAppend) {
  auto read = std::async(std::launch::async,
                         [this] { return Read(Offset(1), 30'000); });
  EXPECT_EQ(Append("a"), AppendResult(Appended{Offset(1)}));
  EXPECT_EQ(std::get<ReadRecords>(read.get()).records.size(), 1U);
  EXPECT_TRUE(std::get<ReadRecords>(Read(Offset(2), 20)).records.empty());
}

TEST_F(HttpLogTest, FaultsAreToldApart) {
  SetFaults(R"({"is_down": true})");
  EXPECT_EQ(Append("x"), AppendResult(AppendRefused()));
  EXPECT_EQ(Read(Offset(1)), ReadResult(ReadFailed()));
  SetFaults(R"({"lost_answers": 1})");
  EXPECT_EQ(Append("a"), AppendResult(AppendUnanswered()));
  SetFaults(R"({"lost_requests": 1})");
  EXPECT_EQ(Append("x"), AppendResult(AppendUnanswered()));
  SetFaults(R"({"is_hanging": true})");
  EXPECT_EQ(Append("x"), AppendResult(AppendUnanswered()));
  SetFaults(R"({"delay_ms": 20})");
  EXPECT_EQ(Append("c"), AppendResult(Appended{Offset(2)}));
  EXPECT_EQ(std::get<ReadRecords>(Read(Offset(1))).records.size(), 2U);
}

TEST_F(HttpLogTest, StoppedLogRefuses) {
  server_.Close();
  EXPECT_EQ(Append("x"), AppendResult(AppendRefused()));
}

}  // namespace
}  // namespace papayadrift::log
