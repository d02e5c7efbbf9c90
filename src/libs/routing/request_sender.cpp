#include "routing/request_sender_p.h"

namespace papayadrift::routing {

RequestSender::RequestSender(const RoutingSettings& settings,
                             EventContext& context,
                             FlowSchedule& schedule,
                             SlotAllocator& slots)
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
  const RequestInfo& info = flow.info();
  if (!service.budget().has_token() || !service.HasRoomFor(info.customer) ||
      !service.IsWorthSending(info.deadline, context_.now())) {
    return false;
  }
  const RunnerPointer runner = slots_.Acquire(service, flow.tried_runners());
  if (runner == nullptr) {
    return false;
  }
  service.budget().TakeToken();
  SendTo(flow, service, runner);
  return true;
}

void RequestSender::Hedge(RequestFlow& flow, ServiceState& service) {
  // While requests are queued, a slot is of more use to a first send than to a
  // hedge.
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
  const RequestInfo& info = flow.info();
  const RunnerRoute& route = runner->route;
  const SendId id = flow.AddSend(runner, context_.now());
  const ServiceLoad load = service.LoadFor(info.customer);
  service.RecordSent(info.customer);
  context_.Add(Send{id, IdentityOf(id), route.address, route.worker,
                    info.deadline, schedule_.GiveUpAt(flow), info.context,
                    load});
  schedule_.SetTimer(flow);
}

}  // namespace papayadrift::routing
