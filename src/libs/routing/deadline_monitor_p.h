#ifndef PAPAYADRIFT_ROUTING_DEADLINE_MONITOR_P_H_
#define PAPAYADRIFT_ROUTING_DEADLINE_MONITOR_P_H_

#include "routing/event_context_p.h"
#include "routing/flow_schedule_p.h"
#include "routing/flow_table_p.h"
#include "routing/request_finisher_p.h"
#include "routing/request_sender_p.h"
#include "routing/send_result_handler_p.h"
#include "routing/service_table_p.h"

namespace papayadrift::routing {

// Handles expired request timers: gives up, refuses or hedges the request.
class DeadlineMonitor {
 public:
  DeadlineMonitor(const EventContext& context,
                  ServiceTable& services,
                  FlowTable& flows,
                  FlowSchedule& schedule,
                  RequestSender& sender,
                  SendResultHandler& results,
                  RequestFinisher& finisher);

  // Handles all requests whose timers have expired.
  void CheckDue();

 private:
  void Check(RequestFlow& flow);
  void OnDeadline(RequestFlow& flow);

  const EventContext& context_;
  ServiceTable& services_;
  FlowTable& flows_;
  FlowSchedule& schedule_;
  RequestSender& sender_;
  SendResultHandler& results_;
  RequestFinisher& finisher_;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_DEADLINE_MONITOR_P_H_
