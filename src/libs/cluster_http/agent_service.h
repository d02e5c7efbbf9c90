#ifndef PAPAYADRIFT_CLUSTER_HTTP_AGENT_SERVICE_H_
#define PAPAYADRIFT_CLUSTER_HTTP_AGENT_SERVICE_H_

#include "async_http/server.h"
#include "cluster/runner_agent.h"
#include "http/message.h"

namespace papayadrift::cluster_http {

// Passes the requests of leaders on to an agent, which must outlive it.
class AgentService {
 public:
  explicit AgentService(cluster::RunnerAgent& agent) : agent_(agent) {}

  void Handle(const http::Request& request, const async_http::Respond& respond);

 private:
  void HandleLeader(const http::Request& request,
                    const async_http::Respond& respond);
  void HandleOrders(const http::Request& request,
                    const async_http::Respond& respond);

  cluster::RunnerAgent& agent_;
};

}  // namespace papayadrift::cluster_http

#endif  // PAPAYADRIFT_CLUSTER_HTTP_AGENT_SERVICE_H_
