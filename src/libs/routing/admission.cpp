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

void Admission::Admit(const RequestInfo& info) {
  if (info.known_key && !std::holds_alternative<KeyAccepted>(*info.known_key)) {
    finisher_.AnswerNewByKey(info, *info.known_key);
    return;
  }
  if (const auto refusal = CheckAdmission(info)) {
    RefuseNew(info, *refusal);
    return;
  }
  ServiceState& service = services_.At(info.service);
  if (service.route().is_idempotent) {
    Enqueue(flows_.Add(info, true, FlowPhase::kArrived), service);
    return;
  }
  ClaimKeyOf(flows_.Add(info, false, FlowPhase::kClaiming));
}

void Admission::OnKeyClaimFinished(RequestFlow& flow,
                                   const KeyClaimResult& result) {
  --claiming_count_;
  flow.EndClaim(std::holds_alternative<KeyAccepted>(result));
  if (flow.phase() == FlowPhase::kFinished) {
    finisher_.ResolveKeyUnanswered(flow);
    flows_.MarkForCleanup(flow.info().id);
    return;
  }
  if (!flow.has_claimed_key()) {
    finisher_.FinishByKey(flow, result);
    return;
  }
  Enqueue(flow, services_.Of(flow));
}

std::optional<AdmissionRefusal> Admission::CheckAdmission(
    const RequestInfo& info) const {
  if (is_stopping_) {
    return AdmissionRefusal{RefusalReason::kStopping, context_.now()};
  }
  if (!services_.IsRouted(info.service)) {
    return AdmissionRefusal{RefusalReason::kServiceUnknown, std::nullopt};
  }
  if (claiming_count_ >= settings_.maximum_queued) {
    return finisher_.RetryLater(RefusalReason::kOverloaded);
  }
  return services_.At(info.service).CheckAdmission(info, context_.now());
}

void Admission::RefuseNew(const RequestInfo& info,
                          const AdmissionRefusal& refusal) {
  ServiceState* service = services_.Find(info.service);
  if (refusal.reason == RefusalReason::kOverloaded && service != nullptr) {
    demand_.OnRefused(*service);
  }
  finisher_.RefuseNew(info, refusal);
}

void Admission::ClaimKeyOf(const RequestFlow& flow) {
  ++claiming_count_;
  context_.Add(ClaimKey{flow.info()});
  schedule_.SetTimer(flow);
}

void Admission::Enqueue(RequestFlow& flow, ServiceState& service) {
  const QueueRoom room = queues_.MakeRoomFor(flow.info().customer, service);
  const AdmissionRefusal overloaded =
      finisher_.RetryLater(RefusalReason::kOverloaded);
  if (!room.has_room) {
    finisher_.FinishRefused(flow, overloaded);
    return;
  }
  if (room.evicted) {
    finisher_.FinishRefused(flows_.At(*room.evicted), overloaded);
  }
  queues_.Push(flow, service, context_.now());
  schedule_.SetTimer(flow);
  dispatcher_.Dispatch(service);
}

}  // namespace papayadrift::routing
