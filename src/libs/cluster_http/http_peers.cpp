#include "cluster_http/http_peers.h"

#include <charconv>
#include <system_error>
#include <utility>
#include <variant>

#include "cluster/report_queue.h"
#include "cluster_http/paths.h"
#include "jobs/codec.h"

namespace papayadrift::cluster_http {
namespace {

http::Request Get(const char* path) {
  http::Request request;
  request.method = "GET";
  request.path = path;
  return request;
}

http::Request Post(const char* path, std::string body) {
  http::Request request;
  request.method = "POST";
  request.path = path;
  request.body = std::move(body);
  return request;
}

// Returns the response that was received, if any.
const http::Response* ResponseIn(const http::ClientResult& result) {
  return std::get_if<http::Response>(&result);
}

cluster::CallFailure FailureOf(http::ClientFailure failure) {
  switch (failure) {
    case http::ClientFailure::kNotConnected:
    case http::ClientFailure::kRefused:
      return cluster::CallFailure::kNotDone;
    case http::ClientFailure::kTimedOut:
      return cluster::CallFailure::kTimedOut;
    case http::ClientFailure::kLost:
    case http::ClientFailure::kTruncated:
    case http::ClientFailure::kTooLarge:
      break;
  }
  return cluster::CallFailure::kLost;
}

// Returns the speed in an answer; 0: it has none.
uint64_t SpeedOf(const std::string& body) {
  uint64_t n = 0;
  const char* end = body.data() + body.size();
  const auto [parsed_end, ec] = std::from_chars(body.data(), end, n);
  return ec == std::errc() && parsed_end == end ? n : 0;
}

cluster::ReportResult ReportResultOf(const http::ClientResult& result) {
  const auto* response = ResponseIn(result);
  if (response == nullptr) {
    return FailureOf(std::get<http::ClientFailure>(result));
  }
  if (response->status == 200) {
    if (const auto answer = jobs::Decode<jobs::ReportAnswer>(response->body)) {
      return *answer;
    }
  }
  return cluster::ReportRefused{response->status};
}

cluster::RelayResult RelayResultOf(const http::ClientResult& result) {
  const auto* response = ResponseIn(result);
  if (response == nullptr) {
    return FailureOf(std::get<http::ClientFailure>(result));
  }
  if (const auto answer = cluster::DecodeRelayAnswer(response->body)) {
    return *answer;
  }
  // A frontend whose answer can't be decoded may have handled the call.
  return response->status == 200 ? cluster::CallFailure::kLost
                                 : cluster::CallFailure::kNotDone;
}

}  // namespace

void HttpPeers::NotifyAgent(const std::string& agent,
                            const jobs::LeaderRecord& leader,
                            Instant deadline) {
  client_.Send(agent, Post(kLeaderPath, jobs::Encode(leader)), deadline,
               [](const http::ClientResult&) {});
}

void HttpPeers::SendOrders(
    const std::string& agent,
    const jobs::OrderBatch& batch,
    Instant deadline,
    std::function<void(const std::optional<jobs::OrderAnswer>&)> done) {
  client_.Send(agent, Post(kOrdersPath, jobs::Encode(batch)), deadline,
               [done = std::move(done)](const http::ClientResult& result) {
                 const auto* response = ResponseIn(result);
                 done(response == nullptr
                          ? std::nullopt
                          : jobs::Decode<jobs::OrderAnswer>(response->body));
               });
}

void HttpPeers::SendReport(
    const std::string& leader,
    const jobs::RunnerReport& report,
    Instant deadline,
    std::function<void(const cluster::ReportResult&)> done) {
  http::Request request = Post(kReportPath, jobs::Encode(report));
  request.headers = {{kReporterHeader, cluster::ReporterOf(report)}};
  client_.Send(leader, request, deadline,
               [done = std::move(done)](const http::ClientResult& result) {
                 done(ReportResultOf(result));
               });
}

void HttpPeers::QueryLeader(const std::string& frontend,
                            Instant deadline,
                            std::function<void(bool is_leader)> done) {
  client_.Send(frontend, Get(kLeaderPath), deadline,
               [done = std::move(done)](const http::ClientResult& result) {
                 const auto* response = ResponseIn(result);
                 done(response != nullptr && response->status == 200);
               });
}

void HttpPeers::QueryStandby(
    const std::string& frontend,
    Instant deadline,
    std::function<void(std::optional<uint64_t> speed)> done) {
  client_.Send(frontend, Get(kStandbyPath), deadline,
               [done = std::move(done)](const http::ClientResult& result) {
                 const auto* response = ResponseIn(result);
                 const bool could_lead =
                     response != nullptr && response->status == 200;
                 done(could_lead ? std::optional(SpeedOf(response->body))
                                 : std::nullopt);
               });
}

void HttpPeers::NotifySuccessor(const std::string& frontend, Instant deadline) {
  client_.Send(frontend, Post(kSuccessionPath, {}), deadline,
               [](const http::ClientResult&) {});
}

void HttpPeers::NotifyOfCancellation(const std::string& leader,
                                     const JobId& id,
                                     Instant deadline) {
  client_.Send(leader, Post(kCancellationPath, id.text()), deadline,
               [](const http::ClientResult&) {});
}

void HttpPeers::SendRelayed(
    const std::string& frontend,
    const cluster::RelayCall& call,
    Instant deadline,
    std::function<void(const cluster::RelayResult&)> done) {
  client_.Send(frontend, Post(kRelayPath, Encode(call)), deadline,
               [done = std::move(done)](const http::ClientResult& result) {
                 done(RelayResultOf(result));
               });
}

}  // namespace papayadrift::cluster_http
