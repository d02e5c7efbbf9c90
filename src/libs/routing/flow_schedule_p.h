#ifndef PAPAYADRIFT_ROUTING_FLOW_SCHEDULE_P_H_
#define PAPAYADRIFT_ROUTING_FLOW_SCHEDULE_P_H_

#include <optional>

#include "routing/event_context_p.h"
#include "routing/flow_timers.h"
#include "routing/request_flow.h"
#include "routing/routing_settings.h"
#include "routing/service_table_p.h"

namespace papayadrift::routing {

// The instants that matter to a request, and the timer for the next of them.
class FlowSchedule {
 public:
  FlowSchedule(const RoutingSettings& settings,
               const EventContext& context,
               const ServiceTable& services);

  // Sets the timer for what comes next for the request, in place of the one it
  // had.
  void SetTimer(const RequestFlow& flow);
  void RemoveTimer(const RequestFlow& flow);

  // Takes the earliest request whose timer is due.
  std::optional<RequestId> TakeDue();
  std::optional<Instant> earliest() const { return timers_.earliest(); }

  // Returns until when the end of a send is awaited.
  Instant GiveUpAt(const RequestFlow& flow) const;

  // Returns when the caller must have its answer on the way.
  Instant AnswerBy(const RequestFlow& flow) const;

  // Whether a second send may be added to the first.
  bool MayHedge(const RequestFlow& flow) const;

 private:
  const RoutingSettings& settings_;
  const EventContext& context_;
  const ServiceTable& services_;
  FlowTimers timers_;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_FLOW_SCHEDULE_P_H_
