#include "routing/flow_schedule_p.h"

namespace papayadrift::routing {

namespace {

constexpr microseconds kTick(1);

}  // namespace

FlowSchedule::FlowSchedule(const RoutingSettings& settings,
                           const EventContext& context,
                           const ServiceTable& services)
    : settings_(settings), context_(context), services_(services) {}

void FlowSchedule::SetTimer(const RequestFlow& flow) {
  const ServiceState& service = services_.Of(flow);
  const Instant answer_by = AnswerBy(flow);
  Instant at = answer_by;
  if (flow.phase() == FlowPhase::kWaiting) {
    at = service.LatestStart(flow.info().deadline) + kTick;
  } else if (MayHedge(flow)) {
    at = service.HedgeAt(flow.sends().front().sent_at);
  }
  const bool is_ahead = at > context_.now() && at < answer_by;
  timers_.Set(flow.info().id, is_ahead ? at : answer_by);
}

void FlowSchedule::RemoveTimer(const RequestFlow& flow) {
  timers_.Remove(flow.info().id);
}

std::optional<RequestId> FlowSchedule::TakeDue() {
  return timers_.TakeDue(context_.now());
}

Instant FlowSchedule::GiveUpAt(const RequestFlow& flow) const {
  const microseconds window = flow.is_idempotent()
                                  ? settings_.overrun_margin
                                  : settings_.late_answer_window;
  return flow.info().deadline + window;
}

Instant FlowSchedule::AnswerBy(const RequestFlow& flow) const {
  return flow.info().deadline - settings_.reply_margin;
}

bool FlowSchedule::MayHedge(const RequestFlow& flow) const {
  return settings_.has_hedging && flow.is_idempotent() &&
         flow.phase() == FlowPhase::kSent && flow.sends().size() == 1;
}

}  // namespace papayadrift::routing
