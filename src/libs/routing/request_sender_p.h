#ifndef PAPAYADRIFT_ROUTING_REQUEST_SENDER_P_H_
#define PAPAYADRIFT_ROUTING_REQUEST_SENDER_P_H_

#include <string>

#include "routing/event_context_p.h"
#include "routing/flow_schedule_p.h"
#include "routing/request_flow.h"
#include "routing/routing_settings.h"
#include "routing/service_state.h"
#include "routing/slot_allocator_p.h"

namespace papayadrift::routing {

// Sends requests to runners: first sends, retries and hedges.
class RequestSender {
 public:
  RequestSender(const RoutingSettings& settings,
                EventContext& context,
                FlowSchedule& schedule,
                SlotAllocator& slots);

  // Sends a request for the first time, using a slot acquired for it.
  void SendFirst(RequestFlow& flow,
                 ServiceState& service,
                 const RunnerPointer& runner);

  // Sends a request again, to another runner, if budget, limits and time allow
  // it; returns whether they did.
  bool SendExtra(RequestFlow& flow, ServiceState& service);

  // Sends a second time, unless requests are queued.
  void Hedge(RequestFlow& flow, ServiceState& service);

  // Returns the identity that is sent along with a send.
  std::string IdentityOf(const SendId& send) const;

 private:
  void SendTo(RequestFlow& flow,
              ServiceState& service,
              const RunnerPointer& runner);

  const RoutingSettings& settings_;
  EventContext& context_;
  FlowSchedule& schedule_;
  SlotAllocator& slots_;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_REQUEST_SENDER_P_H_
