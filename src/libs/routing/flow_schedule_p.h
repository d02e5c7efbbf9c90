#ifndef PAPAYADRIFT_ROUTING_FLOW_SCHEDULE_P_H_
#define PAPAYADRIFT_ROUTING_FLOW_SCHEDULE_P_H_

#include <optional>

#include "routing/event_context_p.h"
#include "routing/flow_timers.h"
#include "routing/request_flow.h"
#include "routing/routing_settings.h"
#include "routing/service_table_p.h"

namespace papayadrift::routing {

// Computes the deadlines of requests and sets a timer for the next one of each.
class FlowSchedule {
 public:
  FlowSchedule(const RoutingSettings& settings,
               const EventContext& context,
               const ServiceTable& services);

  // Sets the timer for the next step of the request; replaces its previous one.
  void SetTimer(const RequestFlow& flow);
  void RemoveTimer(const RequestFlow& flow);

  // Removes and returns the request with the earliest expired timer.
  std::optional<RequestId> TakeDue();
  std::optional<Instant> earliest() const { return timers_.earliest(); }

  // Returns until when a result of a send is awaited.
  Instant GiveUpAt(const RequestFlow& flow) const;

  // Returns when the response to the caller must be sent at the latest.
  Instant AnswerBy(const RequestFlow& flow) const;

  // Returns whether the request may be hedged by a second send.
  bool MayHedge(const RequestFlow& flow) const;

 private:
  const RoutingSettings& settings_;
  const EventContext& context_;
  const ServiceTable& services_;
  FlowTimers timers_;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_FLOW_SCHEDULE_P_H_
