#include "cluster_http/frontend_service.h"

#include <optional>
#include <string>

#include "cluster_http/paths.h"
#include "cluster_http/reports.h"

namespace papayadrift::cluster_http {

void FrontendService::Handle(const http::Request& request,
                             const async_http::Respond& respond) {
  if (request.path == kReportPath) {
    frontend_.HandleReport(ReportOf(request), ReplyWith(respond));
  } else if (request.path == kRelayPath) {
    HandleRelay(request, respond);
  } else if (request.path == kCancellationPath) {
    const bool is_known = frontend_.HandleCancellation(JobId(request.body));
    respond({is_known ? 200 : 404, {}, {}});
  } else if (request.path == kLeaderPath) {
    respond({frontend_.HandleLeaderQuery() ? 200 : 409, {}, {}});
  } else if (request.path == kStandbyPath) {
    HandleStandbyQuery(respond);
  } else if (request.path == kSuccessionPath) {
    respond({frontend_.HandleSuccession() ? 200 : 409, {}, {}});
  } else {
    respond({404, {}, {}});
  }
}

void FrontendService::HandleRelay(const http::Request& request,
                                  const async_http::Respond& respond) {
  const auto call = cluster::DecodeRelayCall(request.body);
  if (!call) {
    respond({400, {}, {}});
    return;
  }
  frontend_.HandleRelay(
      *call, [respond](const std::optional<cluster::RelayAnswer>& answer) {
        respond(answer ? http::Response{200, {}, Encode(*answer)}
                       : http::Response{400, {}, {}});
      });
}

void FrontendService::HandleStandbyQuery(const async_http::Respond& respond) {
  const auto speed = frontend_.HandleStandbyQuery();
  respond(speed ? http::Response{200, {}, std::to_string(*speed)}
                : http::Response{409, {}, {}});
}

}  // namespace papayadrift::cluster_http
