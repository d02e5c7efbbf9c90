#ifndef PAPAYADRIFT_ROUTING_ADMISSION_P_H_
#define PAPAYADRIFT_ROUTING_ADMISSION_P_H_

#include <cstddef>
#include <optional>

#include "routing/dispatcher_p.h"
#include "routing/event_context_p.h"
#include "routing/flow_schedule_p.h"
#include "routing/flow_table_p.h"
#include "routing/request_finisher_p.h"
#include "routing/request_queues_p.h"
#include "routing/routing_settings.h"
#include "routing/service_table_p.h"
#include "routing/slot_demand_p.h"

namespace papayadrift::routing {

// Admits or refuses new requests; claims the idempotency keys of admitted
// requests where required, and enqueues them.
class Admission {
 public:
  Admission(const RoutingSettings& settings,
            EventContext& context,
            ServiceTable& services,
            FlowTable& flows,
            RequestQueues& queues,
            FlowSchedule& schedule,
            RequestFinisher& finisher,
            Dispatcher& dispatcher,
            SlotDemand& demand);

  void Admit(const RequestInfo& info);

  // Handles the result of the key claim that the request waits for.
  void OnKeyClaimFinished(RequestFlow& flow, const KeyClaimResult& result);

  // Refuses new requests from now on.
  void Stop() { is_stopping_ = true; }
  bool is_stopping() const { return is_stopping_; }

 private:
  std::optional<AdmissionRefusal> CheckAdmission(const RequestInfo& info) const;
  void RefuseNew(const RequestInfo& info, const AdmissionRefusal& refusal);
  void ClaimKeyOf(const RequestFlow& flow);
  void Enqueue(RequestFlow& flow, ServiceState& service);

  const RoutingSettings& settings_;
  EventContext& context_;
  ServiceTable& services_;
  FlowTable& flows_;
  RequestQueues& queues_;
  FlowSchedule& schedule_;
  RequestFinisher& finisher_;
  Dispatcher& dispatcher_;
  SlotDemand& demand_;
  size_t claiming_count_ = 0;
  bool is_stopping_ = false;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_ADMISSION_P_H_
