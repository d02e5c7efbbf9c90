#include "routing/request_sender_p.h"

namespace papayadrift::routing {

RequestSender::RequestSender(const RoutingSettings& settings,
                             EventContext& context,
                             FlowSchedule& schedule,
                             SlotTaker& slots)
    : settings_(settings),
      context_(context),
      schedule_(schedule),
      slots_(slots) {}

void RequestSender::SendFirst(RequestFlow& flow,
                              ServiceState& service,
                              const RunnerPointer& runner) {
  service.budget().AddFirstSend();
  SendTo(flow, service, runner);
}

bool RequestSender::SendExtra(RequestFlow& flow, ServiceState& service) {
  const RequestFacts& facts = flow.facts();
  if (!service.budget().has_extra() || !service.HasRoomFor(facts.customer) ||
      !service.IsWorthSending(facts.deadline, context_.now())) {
    return false;
  }
  const RunnerPointer runner = slots_.Take(service, flow.tried_runners());
  if (runner == nullptr) {
    return false;
  }
  service.budget().TakeExtra();
  SendTo(flow, service, runner);
  return true;
}

void RequestSender::Hedge(RequestFlow& flow, ServiceState& service) {
  // While requests wait, a first send is worth more than a second one.
  if (service.queue().size() == 0) {
    SendExtra(flow, service);
  }
}

std::string RequestSender::IdentityOf(const SendId& send) const {
  return settings_.identity_prefix + "." +
         std::to_string(send.request.value()) + "." +
         std::to_string(send.ordinal);
}

void RequestSender::SendTo(RequestFlow& flow,
                           ServiceState& service,
                           const RunnerPointer& runner) {
  const RequestFacts& facts = flow.facts();
  const RunnerRoute& route = runner->route;
  const SendId id = flow.AddSend(runner, context_.now());
  const ServiceLoad load = service.LoadFor(facts.customer);
  service.RecordSent(facts.customer);
  context_.Add(Send{id, IdentityOf(id), route.address, route.worker,
                    facts.deadline, schedule_.GiveUpAt(flow), facts.context,
                    load});
  schedule_.SetTimer(flow);
}

}  // namespace papayadrift::routing
