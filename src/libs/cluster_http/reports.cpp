#include "cluster_http/reports.h"

#include <utility>
#include <variant>

#include "base/lookup.h"
#include "cluster_http/paths.h"
#include "jobs/codec.h"

namespace papayadrift::cluster_http {
namespace {

// Makes a response of each kind of reply.
struct ResponseMaker {
  http::Response operator()(const jobs::ReportAnswer& answer) const {
    return {200, {}, jobs::Encode(answer)};
  }
  http::Response operator()(cluster::ReportRejection rejection) const {
    return {
        rejection == cluster::ReportRejection::kUnreadable ? 400 : 409, {}, {}};
  }
};

}  // namespace

cluster::ArrivedReport ReportOf(const http::Request& request) {
  return {ValueOr(request.headers, kReporterHeader, ""), [body = request.body] {
            return jobs::Decode<jobs::RunnerReport>(body);
          }};
}

cluster::RespondToReport ReplyWith(async_http::Respond respond) {
  return [respond = std::move(respond)](const cluster::ReportReply& reply) {
    respond(std::visit(ResponseMaker(), reply));
  };
}

}  // namespace papayadrift::cluster_http
