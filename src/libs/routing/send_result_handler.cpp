#include <utility>

#include "routing/send_result_handler_p.h"

namespace papayadrift::routing {

namespace {

constexpr int kFirstServerFailure = 500;

// How a send without a complete response is treated.
struct FailureClass {
  RefusalReason reason;
  SendOutcome outcome;
  // Whether the runner may still be processing the request.
  bool may_still_run;
};

// `failure` is not set for a mismatched response.
FailureClass ClassifyFailure(std::optional<http::ClientFailure> failure) {
  if (!failure) {
    return {RefusalReason::kBackendFailed, SendOutcome::kMismatched, true};
  }
  switch (*failure) {
    case http::ClientFailure::kNotConnected:
    case http::ClientFailure::kRefused:
      return {RefusalReason::kBackendFailed, SendOutcome::kNotConnected, false};
    case http::ClientFailure::kTimedOut:
      return {RefusalReason::kBackendTimedOut, SendOutcome::kTimedOut, true};
    case http::ClientFailure::kTruncated:
      return {RefusalReason::kAnswerTruncated, SendOutcome::kTruncated, true};
    case http::ClientFailure::kTooLarge:
      return {RefusalReason::kAnswerTooLarge, SendOutcome::kTooLarge, false};
    case http::ClientFailure::kLost:
      break;
  }
  return {RefusalReason::kConnectionLost, SendOutcome::kLost, true};
}

}  // namespace

SendResultHandler::SendResultHandler(const RoutingSettings& settings,
                                     EventContext& context,
                                     RequestSender& sender,
                                     RequestFinisher& finisher)
    : settings_(settings),
      context_(context),
      sender_(sender),
      finisher_(finisher) {}

void SendResultHandler::HandleAnswer(RequestFlow& flow,
                                     ServiceState& service,
                                     SendState& send,
                                     http::Response response) {
  const bool has_failed = response.status >= kFirstServerFailure;
  RecordAnswer(flow, service, send, has_failed);
  flow.CloseAnswered(send, !has_failed);
  FreeSlot(flow, service, send, false);
  if (flow.phase() == FlowPhase::kFinished) {
    EndSend(flow, send, SendOutcome::kAnsweredLate);
    finisher_.ResolveKeyOf(flow, response.status, response.body);
    return;
  }
  EndSend(flow, send,
          has_failed ? SendOutcome::kServerFailed : SendOutcome::kAnswered);
  if (has_failed && flow.is_idempotent()) {
    flow.SetFallback(std::move(response));
    ContinueAfterFailure(flow, service);
    return;
  }
  finisher_.FinishWith(flow, std::move(response));
}

void SendResultHandler::HandleFailure(
    RequestFlow& flow,
    ServiceState& service,
    SendState& send,
    std::optional<http::ClientFailure> failure) {
  if (failure == http::ClientFailure::kTimedOut) {
    service.RecordUnanswered(flow.info().customer,
                             context_.now() - send.sent_at, context_.now());
  }
  if (!send.is_failure_recorded && failure != http::ClientFailure::kTooLarge) {
    service.pool().RecordFailure(*send.runner, context_.now());
  }
  flow.CloseFailed(send, failure);
  const FailureClass failure_class = ClassifyFailure(failure);
  FreeSlot(flow, service, send, failure_class.may_still_run);
  EndSend(flow, send, failure_class.outcome);
  if (flow.phase() != FlowPhase::kFinished) {
    ContinueAfterFailure(flow, service);
    return;
  }
  if (!flow.has_open_send()) {
    finisher_.ResolveKeyUnanswered(flow);
  }
}

void SendResultHandler::RecordOpenSendTimeouts(RequestFlow& flow,
                                               ServiceState& service) {
  for (const SendState& it : flow.sends()) {
    const bool was_given_time =
        context_.now() - it.sent_at >= service.route().latency_target;
    if (it.is_open && was_given_time) {
      flow.FindOpen(it.id)->is_failure_recorded = true;
      service.pool().RecordFailure(*it.runner, context_.now());
    }
  }
}

void SendResultHandler::ContinueAfterFailure(RequestFlow& flow,
                                             ServiceState& service) {
  if (flow.has_open_send()) {
    return;
  }
  // The response of another runner would be too large as well.
  const bool may_help = flow.last_failure() != http::ClientFailure::kTooLarge;
  if (may_help && flow.may_send_again() && sender_.SendExtra(flow, service)) {
    return;
  }
  if (flow.fallback()) {
    finisher_.FinishWith(flow, *flow.fallback());
    return;
  }
  finisher_.FinishRefused(
      flow, {ClassifyFailure(flow.last_failure()).reason, context_.now()});
}

void SendResultHandler::RecordAnswer(const RequestFlow& flow,
                                     ServiceState& service,
                                     const SendState& send,
                                     bool has_failed) {
  const microseconds latency = context_.now() - send.sent_at;
  if (has_failed && HasRunOutOfTime(flow)) {
    // Runners stop processing a request at its deadline. That this one did not
    // complete it is no sign of a faulty runner, but gives a lower bound of the
    // processing time.
    service.RecordUnanswered(flow.info().customer, latency, context_.now());
    return;
  }
  if (has_failed) {
    service.pool().RecordFailure(*send.runner, context_.now());
    return;
  }
  service.RecordAnswered(flow.info().customer, latency, context_.now());
  if (!send.is_failure_recorded) {
    service.pool().RecordSuccess(*send.runner, latency, context_.now());
  }
}

bool SendResultHandler::HasRunOutOfTime(const RequestFlow& flow) const {
  return context_.now() >= flow.info().deadline - settings_.reply_margin;
}

void SendResultHandler::EndSend(const RequestFlow& flow,
                                const SendState& send,
                                SendOutcome outcome) {
  context_.Add(SendEnded{send.id, flow.info().customer, flow.info().service,
                         send.runner->route.worker, outcome});
}

void SendResultHandler::FreeSlot(const RequestFlow& flow,
                                 ServiceState& service,
                                 const SendState& send,
                                 bool may_still_run) {
  service.RecordEnded(flow.info().customer);
  const Instant stopped_by = flow.info().deadline + settings_.overrun_margin;
  if (may_still_run && stopped_by > context_.now()) {
    deferred_releases_.Add(send.runner->slots, stopped_by);
    return;
  }
  send.runner->slots->Release();
}

}  // namespace papayadrift::routing
