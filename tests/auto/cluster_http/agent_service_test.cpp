#include "cluster_http/agent_service.h"

#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <string>

#include "cluster_http/paths.h"
#include "jobs/codec.h"
#include "process_fixture.h"

namespace papayadrift::cluster_http {
namespace {

// A runner that answers nothing.
class SilentRunner : public cluster::RunnerApi {
 public:
  void RenewLease(const std::string&,
                  const std::string&,
                  const cluster::LeaseRenewalRequest&,
                  Instant,
                  std::function<void(cluster::LeaseRenewalResult)>) override {}
  void SendOrder(const std::string&,
                 const std::string&,
                 const jobs::Order&,
                 uint64_t,
                 int64_t,
                 Instant,
                 std::function<void(jobs::OrderVerdict)>) override {}
};

class AgentServiceTest : public cluster::ProcessFixture {
 protected:
  std::optional<http::Response> Call(const std::string& path,
                                     const std::string& body) {
    http::Request request;
    request.path = path;
    request.body = body;
    std::optional<http::Response> response;
    service_.Handle(request, [&](const http::Response& it) { response = it; });
    return response;
  }

  SilentRunner runner_;
  cluster::RunnerAgent agent_{
      {.node = "agent", .address = "127.0.0.1:1", .service = "s"},
      context(),
      runner_};
  AgentService service_{agent_};
};

TEST_F(AgentServiceTest, TakesLeaders) {
  EXPECT_EQ(
      Call(kLeaderPath, jobs::Encode(jobs::LeaderRecord{1, "n", "127.0.0.1:2"}))
          ->status,
      200);
}

TEST_F(AgentServiceTest, AnswersEachOrder) {
  const jobs::OrderBatch batch{
      1, {"agent", "other", 0}, {jobs::StopOrder{{JobId("a"), 0, 0, 0}, 1}}};
  const auto response = Call(kOrdersPath, jobs::Encode(batch));
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200);
  const auto answer = jobs::Decode<jobs::OrderAnswer>(response->body);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->results.size(), 1U);
}

TEST_F(AgentServiceTest, RefusesWhatItCannotRead) {
  EXPECT_EQ(Call(kLeaderPath, "x")->status, 400);
  EXPECT_EQ(Call(kOrdersPath, "x")->status, 400);
  EXPECT_EQ(Call("/other", {})->status, 404);
}

}  // namespace
}  // namespace papayadrift::cluster_http
