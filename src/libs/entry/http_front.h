#ifndef PAPAYADRIFT_ENTRY_HTTP_FRONT_H_
#define PAPAYADRIFT_ENTRY_HTTP_FRONT_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "access/access_control.h"
#include "base/clock.h"
#include "entry/event_loop.h"
#include "entry/outcomes_desk.h"
#include "entry/region_controller.h"
#include "entry/request_desk.h"
#include "entry/routes.h"
#include "http/server.h"
#include "metrics/registry.h"

namespace papayadrift::entry {

struct HttpFrontSettings {
  // Whether callers, operators or workers without a token are let in while no
  // token is configured for their role.
  bool has_open_doors = false;
  milliseconds apply_timeout{0};

  friend bool operator==(const HttpFrontSettings&,
                         const HttpFrontSettings&) = default;
};

// What the front passes requests on to.
struct HttpFrontParts {
  RequestDesk& requests;
  RegionController& controller;  // Used on the control thread only.
  OutcomesDesk& outcomes;        // Used on the control thread only.
  access::AccessControl& access;
  metrics::Registry& metrics;
  std::shared_ptr<TaskRunner> control;
};

// Checks who asks and passes each HTTP request on. May be called from any
// thread.
class HttpFront {
 public:
  HttpFront(const HttpFrontSettings& settings,
            const Clock& clock,
            HttpFrontParts parts);

  void Handle(http::Request request, http::Respond respond);

  // Tells whose the services are; not for the path of a request.
  void SetServices(const configuration::Configuration& configuration);

  // What the balancer is told; set by the control thread.
  void SetReady(bool is_ready) { is_ready_ = is_ready; }

 private:
  // Who asks, if that is known.
  struct AccessResult {
    bool is_admitted = false;
    CustomerId customer;
    http::Response refusal;
  };

  // The customer of the service, for a caller that shows no token.
  CustomerId CustomerOf(const ServiceId& service) const;
  AccessResult CheckAccess(const Route& route,
                           const http::Request& request) const;
  void Dispatch(const RouteMatch& match,
                const CustomerId& customer,
                http::Request request,
                http::Respond respond);
  void SubmitJob(http::Request request, http::Respond respond);
  void CancelJob(JobId job, http::Respond respond);
  void Heartbeat(const std::string& worker,
                 const http::Request& request,
                 const http::Respond& respond);
  void ShowView(const RouteMatch& match, const http::Respond& respond);
  // On the control thread only.
  http::Response ViewOf(RouteId id, const JobId& job, Instant now) const;
  void ApplyConfiguration(http::Request request, const http::Respond& respond);
  void RetireEntry(const EntryId& entry,
                   const http::Request& request,
                   const http::Respond& respond);
  void Outcomes(const http::Request& request, const http::Respond& respond);
  // Runs on the control thread and responds with what it returns.
  void RespondFromControl(const http::Respond& respond,
                          std::function<http::Response()> answer);
  http::Response Refused(RefusalReason reason, std::string detail) const;

  const HttpFrontSettings settings_;
  const Clock& clock_;
  const HttpFrontParts parts_;
  routing::Published<std::map<ServiceId, CustomerId>> customers_;
  std::atomic<bool> is_ready_{false};
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_HTTP_FRONT_H_
