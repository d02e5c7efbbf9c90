#ifndef PAPAYADRIFT_ROUTING_SERVICE_TABLE_P_H_
#define PAPAYADRIFT_ROUTING_SERVICE_TABLE_P_H_

#include <map>
#include <memory>

#include "routing/request_flow.h"
#include "routing/routing_settings.h"
#include "routing/routing_state.h"
#include "routing/service_state.h"

namespace papayadrift::routing {

// The services of the routing table, and removed services that active requests
// still refer to.
class ServiceTable {
 public:
  explicit ServiceTable(const RoutingSettings& settings);

  // Applies a new routing table.
  void Update(std::shared_ptr<const RoutingState> state, Instant now);

  // Returns whether the routing table contains the service.
  bool IsRouted(const ServiceId& service) const;

  // Returns the state of a service, or null.
  ServiceState* Find(const ServiceId& service);
  const ServiceState* Find(const ServiceId& service) const;

  // Return the state of a service that must exist.
  ServiceState& At(const ServiceId& service);
  const ServiceState& At(const ServiceId& service) const;
  ServiceState& Of(const RequestFlow& flow) { return At(flow.info().service); }
  const ServiceState& Of(const RequestFlow& flow) const {
    return At(flow.info().service);
  }

  std::map<ServiceId, ServiceState>& all() { return services_; }

 private:
  const RoutingSettings& settings_;
  std::map<ServiceId, ServiceState> services_;
  std::shared_ptr<const RoutingState> state_;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_SERVICE_TABLE_P_H_
