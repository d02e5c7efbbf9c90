#include "cluster_http/agent_service.h"

#include "cluster_http/paths.h"
#include "jobs/codec.h"

namespace papayadrift::cluster_http {

void AgentService::Handle(const http::Request& request,
                          const async_http::Respond& respond) {
  if (request.path == kOrdersPath) {
    HandleOrders(request, respond);
  } else if (request.path == kLeaderPath) {
    HandleLeader(request, respond);
  } else {
    respond({404, {}, {}});
  }
}

void AgentService::HandleLeader(const http::Request& request,
                                const async_http::Respond& respond) {
  const auto leader = jobs::Decode<jobs::LeaderRecord>(request.body);
  respond({leader ? 200 : 400, {}, {}});
  if (leader) {
    agent_.HandleLeader(*leader);
  }
}

void AgentService::HandleOrders(const http::Request& request,
                                const async_http::Respond& respond) {
  const auto batch = jobs::Decode<jobs::OrderBatch>(request.body);
  if (!batch) {
    respond({400, {}, {}});
    return;
  }
  agent_.HandleOrders(*batch, [respond](const jobs::OrderAnswer& answer) {
    respond({200, {}, jobs::Encode(answer)});
  });
}

}  // namespace papayadrift::cluster_http
