#ifndef PAPAYADRIFT_CLUSTER_HTTP_REPORTS_H_
#define PAPAYADRIFT_CLUSTER_HTTP_REPORTS_H_

#include "async_http/server.h"
#include "cluster/arrived_report.h"
#include "http/message.h"

namespace papayadrift::cluster_http {

// Returns the report in a request; its body is decoded only when asked for.
cluster::ArrivedReport ReportOf(const http::Request& request);
// Returns what sends the reply to a report as a response.
cluster::RespondToReport ReplyWith(async_http::Respond respond);

}  // namespace papayadrift::cluster_http

#endif  // PAPAYADRIFT_CLUSTER_HTTP_REPORTS_H_
