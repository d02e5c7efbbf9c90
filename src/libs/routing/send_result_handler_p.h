#ifndef PAPAYADRIFT_ROUTING_SEND_RESULT_HANDLER_P_H_
#define PAPAYADRIFT_ROUTING_SEND_RESULT_HANDLER_P_H_

#include <optional>

#include "http/message.h"
#include "routing/deferred_slot_releases.h"
#include "routing/event_context_p.h"
#include "routing/request_finisher_p.h"
#include "routing/request_flow.h"
#include "routing/request_sender_p.h"
#include "routing/routing_settings.h"
#include "routing/service_state.h"

namespace papayadrift::routing {

// Handles the results of sends: updates statistics, releases slots, and
// continues the request.
class SendResultHandler {
 public:
  SendResultHandler(const RoutingSettings& settings,
                    EventContext& context,
                    RequestSender& sender,
                    RequestFinisher& finisher);

  // Handles a complete response that belongs to the open send.
  void HandleAnswer(RequestFlow& flow,
                    ServiceState& service,
                    SendState& send,
                    http::Response response);

  // Handles an open send without a complete response. `failure` is not set for
  // a mismatched response.
  void HandleFailure(RequestFlow& flow,
                     ServiceState& service,
                     SendState& send,
                     std::optional<http::ClientFailure> failure);

  // Records a failure for the runners of open sends that had enough time.
  void RecordOpenSendTimeouts(RequestFlow& flow, ServiceState& service);

  // Slots of ended sends that the runners may still be processing.
  DeferredSlotReleases& deferred_releases() { return deferred_releases_; }
  const DeferredSlotReleases& deferred_releases() const {
    return deferred_releases_;
  }

 private:
  void ContinueAfterFailure(RequestFlow& flow, ServiceState& service);
  void RecordAnswer(const RequestFlow& flow,
                    ServiceState& service,
                    const SendState& send,
                    bool has_failed);
  bool HasRunOutOfTime(const RequestFlow& flow) const;
  void EndSend(const RequestFlow& flow,
               const SendState& send,
               SendOutcome outcome);
  void FreeSlot(const RequestFlow& flow,
                ServiceState& service,
                const SendState& send,
                bool may_still_run);

  const RoutingSettings& settings_;
  EventContext& context_;
  RequestSender& sender_;
  RequestFinisher& finisher_;
  DeferredSlotReleases deferred_releases_;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_SEND_RESULT_HANDLER_P_H_
