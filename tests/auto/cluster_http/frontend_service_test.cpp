#include "cluster_http/frontend_service.h"

#include <gtest/gtest.h>

#include <string>

#include "cluster_http/paths.h"
#include "jobs/codec.h"
#include "process_fixture.h"

namespace papayadrift::cluster_http {
namespace {

class FrontendServiceTest : public cluster::ProcessFixture {
 protected:
  FrontendServiceTest() {
    frontend_.Start();
    log_.Settle();
  }
  ~FrontendServiceTest() override { frontend_.Stop(); }

  static cluster::JobFrontendSettings Settings() {
    cluster::JobFrontendSettings settings;
    settings.leader.node = "front";
    settings.leader.address = "127.0.0.1:1";
    return settings;
  }
  http::Response Call(const std::string& path, const std::string& body = {}) {
    http::Request request;
    request.path = path;
    request.body = body;
    http::Response response{0, {}, {}};
    service_.Handle(request, [&](const http::Response& it) { response = it; });
    log_.Settle();
    return response;
  }

  cluster::JobFrontend frontend_{Settings(), context()};
  FrontendService service_{frontend_};
};

TEST_F(FrontendServiceTest, LeaderAnswersQueriesAndReports) {
  EXPECT_EQ(Call(kLeaderPath).status, 200);
  EXPECT_EQ(Call(kStandbyPath).status, 409);
  EXPECT_EQ(Call(kSuccessionPath).status, 200);
  EXPECT_EQ(Call(kCancellationPath, "unknown").status, 404);
  jobs::RunnerReport report;
  report.incarnation = {"agent", "instance", 1};
  const http::Response response = Call(kReportPath, jobs::Encode(report));
  EXPECT_EQ(response.status, 200);
  const auto answer = jobs::Decode<jobs::ReportAnswer>(response.body);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->term, 1U);
}

TEST_F(FrontendServiceTest, LeaderKnowsTheJobOfACancellation) {
  jobs::Job job;
  job.queue = "q";
  job.steps.resize(1);
  frontend_.Submit(JobId("a"), job, clock_.Now() + seconds(4),
                   [](cluster::SubmitResult) {});
  log_.Settle();
  EXPECT_EQ(Call(kCancellationPath, "a").status, 200);
}

TEST_F(FrontendServiceTest, StandbyTellsItsSpeed) {
  cluster::JobFrontendSettings settings = Settings();
  settings.leader.node = "standby";
  cluster::JobFrontend standby(settings, context());
  FrontendService service(standby);
  standby.Start();
  log_.Settle();
  http::Request request;
  request.path = kStandbyPath;
  http::Response response{0, {}, {}};
  service.Handle(request, [&](const http::Response& it) { response = it; });
  EXPECT_EQ(response.status, 200);
  EXPECT_GT(std::stoull(response.body), 0U);
  standby.Stop();
}

TEST_F(FrontendServiceTest, AnswersRelayedCalls) {
  const http::Response response = Call(
      kRelayPath, Encode(cluster::RelayCall{
                      cluster::RelayKind::kState, "q", JobId("a"), {}, 0}));
  EXPECT_EQ(response.status, 200);
  const auto answer = cluster::DecodeRelayAnswer(response.body);
  ASSERT_TRUE(answer);
  EXPECT_TRUE(answer->is_handled);
  EXPECT_FALSE(answer->has_job);
}

TEST_F(FrontendServiceTest, RefusesWhatItCannotRead) {
  EXPECT_EQ(Call(kReportPath, "x").status, 400);
  EXPECT_EQ(Call(kRelayPath, "x").status, 400);
  EXPECT_EQ(
      Call(kRelayPath, Encode(cluster::RelayCall{cluster::RelayKind::kSubmit,
                                                 "q", JobId("a"), "x", 1000}))
          .status,
      400);
  EXPECT_EQ(Call("/other").status, 404);
}

TEST_F(FrontendServiceTest, FrontendThatDoesNotLeadTakesNoReports) {
  frontend_.Stop();
  log_.Settle();
  EXPECT_EQ(Call(kLeaderPath).status, 409);
  EXPECT_EQ(Call(kSuccessionPath).status, 409);
  EXPECT_EQ(Call(kReportPath, jobs::Encode(jobs::RunnerReport())).status, 409);
}

}  // namespace
}  // namespace papayadrift::cluster_http
