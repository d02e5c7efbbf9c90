#include "routing/deadline_monitor_p.h"

namespace papayadrift::routing {

DeadlineMonitor::DeadlineMonitor(const EventContext& context,
                                 ServiceTable& services,
                                 FlowTable& flows,
                                 FlowSchedule& schedule,
                                 RequestSender& sender,
                                 SendResultHandler& results,
                                 RequestFinisher& finisher)
    : context_(context),
      services_(services),
      flows_(flows),
      schedule_(schedule),
      sender_(sender),
      results_(results),
      finisher_(finisher) {}

void DeadlineMonitor::CheckDue() {
  while (const auto request = schedule_.TakeDue()) {
    if (RequestFlow* flow = flows_.Find(*request)) {
      Check(*flow);
    }
  }
}

void DeadlineMonitor::Check(RequestFlow& flow) {
  if (context_.now() >= schedule_.AnswerBy(flow)) {
    OnDeadline(flow);
    return;
  }
  ServiceState& service = services_.Of(flow);
  if (flow.phase() == FlowPhase::kWaiting &&
      !service.IsWorthSending(flow.info().deadline, context_.now())) {
    finisher_.FinishRefused(
        flow, finisher_.RetryLater(RefusalReason::kDeadlineTooClose));
    return;
  }
  if (schedule_.MayHedge(flow)) {
    sender_.Hedge(flow, service);
  }
  schedule_.SetTimer(flow);
}

void DeadlineMonitor::OnDeadline(RequestFlow& flow) {
  if (flow.phase() != FlowPhase::kSent) {
    finisher_.FinishRefused(flow,
                            {RefusalReason::kDeadlinePassed, std::nullopt});
    return;
  }
  results_.RecordOpenSendTimeouts(flow, services_.Of(flow));
  if (flow.fallback()) {
    finisher_.FinishWith(flow, *flow.fallback());
    return;
  }
  finisher_.FinishRefused(flow,
                          {RefusalReason::kBackendTimedOut, std::nullopt});
}

}  // namespace papayadrift::routing
