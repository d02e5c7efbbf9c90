#ifndef PAPAYADRIFT_ROUTING_REQUEST_FINISHER_P_H_
#define PAPAYADRIFT_ROUTING_REQUEST_FINISHER_P_H_

#include <string>

#include "base/refusal.h"
#include "http/message.h"
#include "routing/event_context_p.h"
#include "routing/flow_schedule_p.h"
#include "routing/flow_table_p.h"
#include "routing/request_queues_p.h"
#include "routing/routing_settings.h"
#include "routing/service_state.h"

namespace papayadrift::routing {

// Completes requests: emits their final actions and resolves their keys.
class RequestFinisher {
 public:
  RequestFinisher(const RoutingSettings& settings,
                  EventContext& context,
                  const ServiceTable& services,
                  FlowTable& flows,
                  RequestQueues& queues,
                  FlowSchedule& schedule);

  // Refuses a request that was not admitted.
  void RefuseNew(const RequestInfo& info, const AdmissionRefusal& refusal);

  // Answers a request that was not admitted according to the result of its key
  // claim, which must not be KeyAccepted.
  void AnswerNewByKey(const RequestInfo& info, const KeyClaimResult& result);

  // Each completes an admitted request that has not finished yet.
  void FinishWith(RequestFlow& flow, http::Response response);
  void FinishRefused(RequestFlow& flow, const AdmissionRefusal& refusal);
  void FinishDropped(RequestFlow& flow);
  void FinishByKey(RequestFlow& flow, const KeyClaimResult& result);

  // Records the outcome of the request under its key, once; has no effect if
  // the request has no claimed key.
  void ResolveKeyOf(RequestFlow& flow, int status, const std::string& answer);
  void ResolveKeyUnanswered(RequestFlow& flow);

  // Returns a refusal for `reason` with the default retry delay.
  AdmissionRefusal RetryLater(RefusalReason reason) const;

 private:
  void Finish(RequestFlow& flow);
  void RefuseByKey(const RequestInfo& info, const KeyRejected& result);
  void ReplayAnswer(const RequestInfo& info, const KeyDuplicate& first);
  Refusal RefusalOf(const AdmissionRefusal& refusal, Ran ran) const;
  void Refuse(const RequestInfo& info, Refusal refusal);

  const RoutingSettings& settings_;
  EventContext& context_;
  const ServiceTable& services_;
  FlowTable& flows_;
  RequestQueues& queues_;
  FlowSchedule& schedule_;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_REQUEST_FINISHER_P_H_
