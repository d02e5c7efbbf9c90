#ifndef PAPAYADRIFT_ROUTING_DISPATCHER_P_H_
#define PAPAYADRIFT_ROUTING_DISPATCHER_P_H_

#include "routing/event_context_p.h"
#include "routing/flow_table_p.h"
#include "routing/request_finisher_p.h"
#include "routing/request_queues_p.h"
#include "routing/request_sender_p.h"
#include "routing/service_table_p.h"
#include "routing/slot_allocator_p.h"

namespace papayadrift::routing {

// Assigns free slots to waiting requests.
class Dispatcher {
 public:
  Dispatcher(const EventContext& context,
             ServiceTable& services,
             FlowTable& flows,
             RequestQueues& queues,
             SlotAllocator& slots,
             RequestSender& sender,
             RequestFinisher& finisher);

  // Sends waiting requests of the service while slots are free.
  void Dispatch(ServiceState& service);
  void DispatchAll();

 private:
  const EventContext& context_;
  ServiceTable& services_;
  FlowTable& flows_;
  RequestQueues& queues_;
  SlotAllocator& slots_;
  RequestSender& sender_;
  RequestFinisher& finisher_;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_DISPATCHER_P_H_
