#ifndef PAPAYADRIFT_ROUTING_SLOT_DEMAND_P_H_
#define PAPAYADRIFT_ROUTING_SLOT_DEMAND_P_H_

#include <cstddef>
#include <optional>

#include "routing/event_context_p.h"
#include "routing/flow_table_p.h"
#include "routing/request_queues_p.h"
#include "routing/routing_settings.h"
#include "routing/service_table_p.h"

namespace papayadrift::routing {

// Reports which services lack slots, at most once per slot request delay.
class SlotDemand {
 public:
  SlotDemand(const RoutingSettings& settings,
             EventContext& context,
             ServiceTable& services,
             const FlowTable& flows,
             const RequestQueues& queues);

  // Records that a request of the service was refused because of the predicted
  // wait.
  void OnRefused(ServiceState& service);

  // Emits reports that are due; must be called after each event.
  void Report();

  // Returns when the next report is due, if there is one.
  std::optional<Instant> due_at() const { return due_at_; }

 private:
  void SetDue();
  size_t RequestsShortOf(ServiceState& service) const;

  const RoutingSettings& settings_;
  EventContext& context_;
  ServiceTable& services_;
  const FlowTable& flows_;
  const RequestQueues& queues_;
  std::optional<Instant> due_at_;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_SLOT_DEMAND_P_H_
