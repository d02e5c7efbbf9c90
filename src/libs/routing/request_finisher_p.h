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

// Gives requests their final answers, and resolves their keys.
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

  // Answers a request that was not admitted as its key's verdict says, which
  // must not be KeyAccepted.
  void AnswerNewByKey(const RequestInfo& info, const KeyClaimResult& result);

  // Each ends an admitted request that is not over.
  void FinishWith(RequestFlow& flow, http::Response response);
  void FinishRefused(RequestFlow& flow, const AdmissionRefusal& refusal);
  void FinishDropped(RequestFlow& flow);
  void FinishByKey(RequestFlow& flow, const KeyClaimResult& result);

  // Records how the request with the key ended, once; no effect for one that
  // has claimed no key.
  void ResolveKeyOf(RequestFlow& flow, int status, const std::string& answer);
  void ResolveKeyUnanswered(RequestFlow& flow);

  // Returns a refusal for `reason` with the usual delay until another try.
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
