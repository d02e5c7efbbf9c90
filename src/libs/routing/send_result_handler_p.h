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

// Takes in how sends end: learns from it, gives slots back, and goes on with
// the request.
class SendResultHandler {
 public:
  SendResultHandler(const RoutingSettings& settings,
                    EventContext& context,
                    RequestSender& sender,
                    RequestFinisher& finisher);

  // A whole answer came that belongs to the open send.
  void HandleAnswer(RequestFlow& flow,
                    ServiceState& service,
                    SendState& send,
                    http::Response response);

  // The open send has no whole answer; no failure stands for a mismatched one.
  void HandleFailure(RequestFlow& flow,
                     ServiceState& service,
                     SendState& send,
                     std::optional<http::ClientFailure> failure);

  // Charges the runners of open sends that had time enough with a failure.
  void RecordOpenSendTimeouts(RequestFlow& flow, ServiceState& service);

  // Slots whose runners may still work on a send that has ended.
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
