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

std::vector<Action> EventHandler::Handle(Event event, Moment now) {
  context_.Begin(now);
  if (results_.holds().Release(now.instant)) {
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
  return flows_.size() == 0 && results_.holds().is_empty();
}

void EventHandler::On(const RequestArrived& event) {
  admission_.Admit(event.facts);
}

void EventHandler::On(const KeyAnswered& event) {
  RequestFlow* flow = flows_.Find(event.request);
  if (flow == nullptr || !flow->is_claiming()) {
    ++stray_count_;
    return;
  }
  admission_.OnKeyAnswered(*flow, event.verdict);
}

void EventHandler::On(AnswerArrived& event) {
  RequestFlow* flow = FlowOfOpenSend(event.send);
  if (flow == nullptr) {
    return;
  }
  ServiceState& service = services_.Of(*flow);
  SendState& send = *flow->FindOpen(event.send);
  if (event.echo == sender_.IdentityOf(event.send)) {
    results_.TakeAnswer(*flow, service, send, std::move(event.response));
  } else {
    results_.TakeFailure(*flow, service, send, std::nullopt);
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
  results_.TakeFailure(*flow, service, send, event.failure);
  AfterSendEnded(*flow, service);
}

void EventHandler::On(const TimerFired& /*event*/) {
  asked_timer_.reset();
  deadlines_.CheckDue();
}

void EventHandler::On(const CallerVanished& event) {
  RequestFlow* flow = flows_.Find(event.request);
  if (flow == nullptr || flow->phase() == FlowPhase::kOver) {
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

void EventHandler::On(const StopBegun& /*event*/) {
  admission_.Stop();
}

RequestFlow* EventHandler::FlowOfOpenSend(const SendId& send) {
  RequestFlow* flow = flows_.Find(send.request);
  if (flow == nullptr || flow->FindOpen(send) == nullptr) {
    ++stray_count_;
    return nullptr;
  }
  return flow;
}

void EventHandler::AfterSendEnded(const RequestFlow& flow,
                                  ServiceState& service) {
  flows_.MarkPerhapsDone(flow.facts().id);
  dispatcher_.Dispatch(service);
}

void EventHandler::AskForTimer() {
  std::optional<Instant> at = schedule_.earliest();
  for (const auto& other : {results_.holds().earliest(), demand_.due_at()}) {
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
  if (admission_.is_stopping() && is_idle() && !has_reported_stop_) {
    has_reported_stop_ = true;
    context_.Add(Stopped{});
  }
}

}  // namespace papayadrift::routing
