#ifndef PAPAYADRIFT_ROUTING_EVENT_HANDLER_P_H_
#define PAPAYADRIFT_ROUTING_EVENT_HANDLER_P_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "routing/actions.h"
#include "routing/admission_p.h"
#include "routing/deadline_monitor_p.h"
#include "routing/dispatcher_p.h"
#include "routing/event_context_p.h"
#include "routing/events.h"
#include "routing/flow_schedule_p.h"
#include "routing/flow_table_p.h"
#include "routing/request_finisher_p.h"
#include "routing/request_queues_p.h"
#include "routing/request_sender_p.h"
#include "routing/routing_settings.h"
#include "routing/send_result_handler_p.h"
#include "routing/service_table_p.h"
#include "routing/slot_allocator_p.h"
#include "routing/slot_demand_p.h"

namespace papayadrift::routing {

// Owns the components of the engine and dispatches each event to the one
// responsible.
class EventHandler {
 public:
  explicit EventHandler(RoutingSettings settings);
  EventHandler(const EventHandler&) = delete;
  EventHandler& operator=(const EventHandler&) = delete;

  std::vector<Action> Handle(Event event, EventTime now);

  SlotAllocator& slots() { return slots_; }
  const ServiceTable& services() const { return services_; }
  size_t waiting_count() const { return queues_.waiting_count(); }
  size_t flow_count() const { return flows_.size(); }
  uint64_t unmatched_result_count() const { return unmatched_result_count_; }
  bool is_idle() const;

 private:
  void On(const RequestArrived& event);
  void On(const KeyClaimFinished& event);
  void On(AnswerArrived& event);
  void On(const SendFailed& event);
  void On(const TimerFired& event);
  void On(const CallerDisconnected& event);
  void On(TableChanged& event);
  void On(const SlotsChanged& event);
  void On(const StopRequested& event);

  // Returns the request that an open send belongs to. Returns null and counts
  // an unmatched result if the send is not open.
  RequestFlow* FlowOfOpenSend(const SendId& send);
  void AfterSendEnded(const RequestFlow& flow, ServiceState& service);
  void AskForTimer();
  void ReportIfStopped();

  const RoutingSettings settings_;
  EventContext context_;
  ServiceTable services_;
  FlowTable flows_;
  RequestQueues queues_;
  FlowSchedule schedule_;
  RequestFinisher finisher_;
  SlotAllocator slots_;
  RequestSender sender_;
  SendResultHandler results_;
  Dispatcher dispatcher_;
  SlotDemand demand_;
  Admission admission_;
  DeadlineMonitor deadlines_;
  std::optional<Instant> asked_timer_;
  uint64_t unmatched_result_count_ = 0;
  bool has_reported_stopped_ = false;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_EVENT_HANDLER_P_H_
