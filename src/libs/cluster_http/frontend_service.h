#ifndef PAPAYADRIFT_CLUSTER_HTTP_FRONTEND_SERVICE_H_
#define PAPAYADRIFT_CLUSTER_HTTP_FRONTEND_SERVICE_H_

#include "async_http/server.h"
#include "cluster/job_frontend.h"
#include "http/message.h"

namespace papayadrift::cluster_http {

// Passes the requests of agents and of other frontends on to a frontend, which
// must outlive it.
class FrontendService {
 public:
  explicit FrontendService(cluster::JobFrontend& frontend)
      : frontend_(frontend) {}

  void Handle(const http::Request& request, const async_http::Respond& respond);

 private:
  void HandleRelay(const http::Request& request,
                   const async_http::Respond& respond);
  void HandleStandbyQuery(const async_http::Respond& respond);

  cluster::JobFrontend& frontend_;
};

}  // namespace papayadrift::cluster_http

#endif  // PAPAYADRIFT_CLUSTER_HTTP_FRONTEND_SERVICE_H_
