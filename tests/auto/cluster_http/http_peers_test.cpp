#include "cluster_http/http_peers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "async_http/server.h"
#include "cluster/report_queue.h"
#include "cluster_http/paths.h"
#include "jobs/codec.h"
#include "process_fixture.h"
#include "support/free_port.h"

namespace papayadrift::cluster_http {
namespace {

using cluster::CallFailure;

// A peer that gives one answer to all requests, and keeps these.
class HttpPeersTest : public cluster::ProcessFixture {
 protected:
  HttpPeersTest() { EXPECT_TRUE(peer_.Open()); }

  Instant Deadline() const { return clock_.Now() + seconds(10); }
  template <typename Result>
  Result Await(const std::optional<Result>& result) {
    while (!result) {
      if (loop_.run_one() == 0) {
        ADD_FAILURE() << "no answer";
        return {};
      }
    }
    return *result;
  }
  cluster::ReportResult Report(const http::Response& answer,
                               const std::string& address) {
    answer_ = answer;
    std::optional<cluster::ReportResult> result;
    peers_.SendReport(address, report_, Deadline(),
                      [&](const cluster::ReportResult& it) { result = it; });
    return Await(result);
  }
  cluster::RelayResult Relay(const http::Response& answer,
                             const std::string& address) {
    answer_ = answer;
    std::optional<cluster::RelayResult> result;
    peers_.SendRelayed(address, {}, Deadline(),
                       [&](const cluster::RelayResult& it) { result = it; });
    return Await(result);
  }

  const std::string address_ = FreeAddress();
  const std::string nobody_ = FreeAddress();
  jobs::RunnerReport report_;
  http::Response answer_;
  std::vector<http::Request> requests_;
  async_http::Server peer_{
      loop_,
      {address_},
      [this](const http::Request& request, const async_http::Respond& respond) {
        requests_.push_back(request);
        respond(answer_);
      }};
};

TEST_F(HttpPeersTest, ReportsAreAnsweredRefusedOrNotDelivered) {
  const jobs::ReportAnswer answer{3, 7, 60'000};
  EXPECT_EQ(Report({200, {}, jobs::Encode(answer)}, address_),
            cluster::ReportResult(answer));
  EXPECT_EQ(requests_.back().path, kReportPath);
  EXPECT_EQ(requests_.back().headers.at(kReporterHeader),
            cluster::ReporterOf(report_));
  EXPECT_EQ(Report({409, {}, {}}, address_),
            cluster::ReportResult(cluster::ReportRefused{409}));
  EXPECT_EQ(Report({200, {}, "x"}, address_),
            cluster::ReportResult(cluster::ReportRefused{200}));
  EXPECT_EQ(Report({}, nobody_), cluster::ReportResult(CallFailure::kNotDone));
}

// Guards against "not run" said of a call that may have been handled.
TEST_F(HttpPeersTest, RelayedCallWithoutAReadableAnswerMayBeDone) {
  const cluster::RelayAnswer answer{true, 2, false};
  EXPECT_EQ(Relay({200, {}, Encode(answer)}, address_),
            cluster::RelayResult(answer));
  EXPECT_EQ(Relay({200, {}, "x"}, address_),
            cluster::RelayResult(CallFailure::kLost));
  EXPECT_EQ(Relay({400, {}, {}}, address_),
            cluster::RelayResult(CallFailure::kNotDone));
  EXPECT_EQ(Relay({}, nobody_), cluster::RelayResult(CallFailure::kNotDone));
}

TEST_F(HttpPeersTest, QueriesTellWhatTheOtherFrontendSays) {
  answer_ = {200, {}, "12"};
  std::optional<bool> is_leader;
  std::optional<std::optional<uint64_t>> speed;
  peers_.QueryLeader(address_, Deadline(), [&](bool it) { is_leader = it; });
  peers_.QueryStandby(address_, Deadline(),
                      [&](std::optional<uint64_t> it) { speed = it; });
  EXPECT_TRUE(Await(is_leader));
  EXPECT_EQ(Await(speed), 12U);
  answer_ = {409, {}, {}};
  is_leader.reset();
  speed.reset();
  peers_.QueryLeader(address_, Deadline(), [&](bool it) { is_leader = it; });
  peers_.QueryStandby(address_, Deadline(),
                      [&](std::optional<uint64_t> it) { speed = it; });
  EXPECT_FALSE(Await(is_leader));
  EXPECT_EQ(Await(speed), std::nullopt);
}

TEST_F(HttpPeersTest, NotificationsReachTheirPaths) {
  peers_.NotifyAgent(address_, {1, "n", "a"}, Deadline());
  peers_.NotifySuccessor(address_, Deadline());
  peers_.NotifyOfCancellation(address_, JobId("job"), Deadline());
  while (requests_.size() < 3) {
    ASSERT_GT(loop_.run_one(), 0U);
  }
  std::vector<std::string> paths;
  std::ranges::transform(requests_, std::back_inserter(paths),
                         &http::Request::path);
  std::ranges::sort(paths);
  EXPECT_EQ(paths, (std::vector<std::string>{kCancellationPath, kLeaderPath,
                                             kSuccessionPath}));
}

TEST_F(HttpPeersTest, OrdersHaveNoAnswerThatCannotBeRead) {
  std::optional<std::optional<jobs::OrderAnswer>> answer;
  const auto keep = [&](const std::optional<jobs::OrderAnswer>& it) {
    answer = it;
  };
  jobs::OrderAnswer sent;
  sent.results.resize(2);
  answer_ = {200, {}, jobs::Encode(sent)};
  peers_.SendOrders(address_, {}, Deadline(), keep);
  EXPECT_EQ(Await(answer), sent);
  EXPECT_EQ(requests_.back().path, kOrdersPath);
  answer_ = {200, {}, "x"};
  answer.reset();
  peers_.SendOrders(address_, {}, Deadline(), keep);
  EXPECT_EQ(Await(answer), std::nullopt);
}

}  // namespace
}  // namespace papayadrift::cluster_http
