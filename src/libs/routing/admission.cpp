#include <variant>

#include "routing/admission_p.h"

namespace papayadrift::routing {

Admission::Admission(const RoutingSettings& settings,
                     EventContext& context,
                     ServiceTable& services,
                     FlowTable& flows,
                     RequestQueues& queues,
                     FlowSchedule& schedule,
                     RequestFinisher& finisher,
                     Dispatcher& dispatcher,
                     SlotDemand& demand)
    : settings_(settings),
      context_(context),
      services_(services),
      flows_(flows),
      queues_(queues),
      schedule_(schedule),
      finisher_(finisher),
      dispatcher_(dispatcher),
      demand_(demand) {}

void Admission::Admit(const RequestFacts& facts) {
  if (facts.known_key &&
      !std::holds_alternative<KeyAccepted>(*facts.known_key)) {
    finisher_.AnswerNewByKey(facts, *facts.known_key);
    return;
  }
  if (const auto refusal = Judge(facts)) {
    RefuseNew(facts, *refusal);
    return;
  }
  ServiceState& service = services_.At(facts.service);
  if (service.route().is_idempotent) {
    Enqueue(flows_.Add(facts, true, FlowPhase::kArrived), service);
    return;
  }
  ClaimKeyOf(flows_.Add(facts, false, FlowPhase::kClaiming));
}

void Admission::OnKeyAnswered(RequestFlow& flow, const KeyVerdict& verdict) {
  --claiming_count_;
  flow.EndClaim(std::holds_alternative<KeyAccepted>(verdict));
  if (flow.phase() == FlowPhase::kOver) {
    finisher_.ResolveKeyUnanswered(flow);
    flows_.MarkPerhapsDone(flow.facts().id);
    return;
  }
  if (!flow.has_claimed_key()) {
    finisher_.FinishByKey(flow, verdict);
    return;
  }
  Enqueue(flow, services_.Of(flow));
}

std::optional<AdmissionRefusal> Admission::Judge(
    const RequestFacts& facts) const {
  if (is_stopping_) {
    return AdmissionRefusal{RefusalReason::kStopping, context_.now()};
  }
  if (!services_.IsRouted(facts.service)) {
    return AdmissionRefusal{RefusalReason::kServiceUnknown, std::nullopt};
  }
  if (claiming_count_ >= settings_.maximum_queued) {
    return finisher_.RetryLater(RefusalReason::kOverloaded);
  }
  return services_.At(facts.service).Judge(facts, context_.now());
}

void Admission::RefuseNew(const RequestFacts& facts,
                          const AdmissionRefusal& refusal) {
  ServiceState* service = services_.Find(facts.service);
  if (refusal.reason == RefusalReason::kOverloaded && service != nullptr) {
    demand_.OnRefused(*service);
  }
  finisher_.RefuseNew(facts, refusal);
}

void Admission::ClaimKeyOf(const RequestFlow& flow) {
  ++claiming_count_;
  context_.Add(ClaimKey{flow.facts()});
  schedule_.SetTimer(flow);
}

void Admission::Enqueue(RequestFlow& flow, ServiceState& service) {
  const QueueRoom room = queues_.MakeRoomFor(flow.facts().customer, service);
  const AdmissionRefusal overloaded =
      finisher_.RetryLater(RefusalReason::kOverloaded);
  if (!room.has_room) {
    finisher_.FinishRefused(flow, overloaded);
    return;
  }
  if (room.pushed_out) {
    finisher_.FinishRefused(flows_.At(*room.pushed_out), overloaded);
  }
  queues_.Push(flow, service, context_.now());
  schedule_.SetTimer(flow);
  dispatcher_.Dispatch(service);
}

}  // namespace papayadrift::routing
