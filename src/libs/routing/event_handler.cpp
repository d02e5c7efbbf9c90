#include <algorithm>
#include <utility>
#include <variant>

#include "routing/event_handler_p.h"

namespace papayadrift::routing {

EventHandler::EventHandler(RoutingSettings settings)
    : settings_(std::move(settings)),
      services_(settings_),
      flows_(services_),
      queues_(settings_, services_),
      schedule_(settings_, context_, services_),
      finisher_(settings_, context_, services_, flows_, queues_, schedule_),
      slots_(context_),
      sender_(settings_, context_, schedule_, slots_),
      results_(settings_, context_, sender_, finisher_),
      dispatcher_(context_,
                  services_,
                  flows_,
                  queues_,
                  slots_,
                  sender_,
                  finisher_),
      demand_(settings_, context_, services_, flows_, queues_),
      admission_(settings_,
                 context_,
                 services_,
                 flows_,
                 queues_,
                 schedule_,
                 finisher_,
                 dispatcher_,
                 demand_),
      deadlines_(context_,
                 services_,
                 flows_,
                 schedule_,
                 sender_,
                 results_,
                 finisher_) {}

std::vector<Action> EventHandler::Handle(Event event, EventTime now) {
  context_.Begin(now);
  if (results_.deferred_releases().ReleaseDue(now.instant)) {
    dispatcher_.DispatchAll();
  }
  std::visit([this](auto& it) { On(it); }, event);
  flows_.EraseDone();
  demand_.Report();
  AskForTimer();
  ReportIfStopped();
  return context_.TakeActions();
}

bool EventHandler::is_idle() const {
  return flows_.size() == 0 && results_.deferred_releases().is_empty();
}

void EventHandler::On(const RequestArrived& event) {
  admission_.Admit(event.info);
}

void EventHandler::On(const KeyClaimFinished& event) {
  RequestFlow* flow = flows_.Find(event.request);
  if (flow == nullptr || !flow->is_claiming()) {
    ++unmatched_result_count_;
    return;
  }
  admission_.OnKeyClaimFinished(*flow, event.result);
}

void EventHandler::On(AnswerArrived& event) {
  RequestFlow* flow = FlowOfOpenSend(event.send);
  if (flow == nullptr) {
    return;
  }
  ServiceState& service = services_.Of(*flow);
  SendState& send = *flow->FindOpen(event.send);
  if (event.echo == sender_.IdentityOf(event.send)) {
    results_.HandleAnswer(*flow, service, send, std::move(event.response));
  } else {
    results_.HandleFailure(*flow, service, send, std::nullopt);
  }
  AfterSendEnded(*flow, service);
}

void EventHandler::On(const SendFailed& event) {
  RequestFlow* flow = FlowOfOpenSend(event.send);
  if (flow == nullptr) {
    return;
  }
  ServiceState& service = services_.Of(*flow);
  SendState& send = *flow->FindOpen(event.send);
  results_.HandleFailure(*flow, service, send, event.failure);
  AfterSendEnded(*flow, service);
}

void EventHandler::On(const TimerFired& /*event*/) {
  asked_timer_.reset();
  deadlines_.CheckDue();
}

void EventHandler::On(const CallerDisconnected& event) {
  RequestFlow* flow = flows_.Find(event.request);
  if (flow == nullptr || flow->phase() == FlowPhase::kFinished) {
    return;
  }
  finisher_.FinishDropped(*flow);
}

void EventHandler::On(TableChanged& event) {
  services_.Update(std::move(event.state), context_.now());
  dispatcher_.DispatchAll();
}

void EventHandler::On(const SlotsChanged& event) {
  for (auto& [id, service] : services_.all()) {
    if (!event.service || id == *event.service) {
      service.UpdateLimits();
      dispatcher_.Dispatch(service);
    }
  }
}

void EventHandler::On(const StopRequested& /*event*/) {
  admission_.Stop();
}

RequestFlow* EventHandler::FlowOfOpenSend(const SendId& send) {
  RequestFlow* flow = flows_.Find(send.request);
  if (flow == nullptr || flow->FindOpen(send) == nullptr) {
    ++unmatched_result_count_;
    return nullptr;
  }
  return flow;
}

void EventHandler::AfterSendEnded(const RequestFlow& flow,
                                  ServiceState& service) {
  flows_.MarkForCleanup(flow.info().id);
  dispatcher_.Dispatch(service);
}

void EventHandler::AskForTimer() {
  std::optional<Instant> at = schedule_.earliest();
  for (const auto& other :
       {results_.deferred_releases().earliest(), demand_.due_at()}) {
    if (other) {
      at = at ? std::min(*at, *other) : *other;
    }
  }
  const bool is_asked = asked_timer_ && at && *asked_timer_ <= *at;
  if (!at || is_asked) {
    return;
  }
  asked_timer_ = at;
  context_.Add(StartTimer{*at});
}

void EventHandler::ReportIfStopped() {
  if (admission_.is_stopping() && is_idle() && !has_reported_stopped_) {
    has_reported_stopped_ = true;
    context_.Add(Stopped{});
  }
}

}  // namespace papayadrift::routing
