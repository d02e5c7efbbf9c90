#include "routing/dispatcher_p.h"

namespace papayadrift::routing {

Dispatcher::Dispatcher(const EventContext& context,
                       ServiceTable& services,
                       FlowTable& flows,
                       RequestQueues& queues,
                       SlotAllocator& slots,
                       RequestSender& sender,
                       RequestFinisher& finisher)
    : context_(context),
      services_(services),
      flows_(flows),
      queues_(queues),
      slots_(slots),
      sender_(sender),
      finisher_(finisher) {}

void Dispatcher::Dispatch(ServiceState& service) {
  while (service.queue().size() > 0 && service.HasRoom()) {
    const RunnerPointer runner = slots_.Acquire(service, {});
    if (runner == nullptr) {
      return;
    }
    const auto next = queues_.PopNext(service);
    if (!next) {
      runner->slots->Release();
      return;
    }
    RequestFlow& flow = flows_.At(*next);
    if (!service.IsWorthSending(flow.info().deadline, context_.now())) {
      runner->slots->Release();
      finisher_.FinishRefused(
          flow, finisher_.RetryLater(RefusalReason::kDeadlineTooClose));
      continue;
    }
    sender_.SendFirst(flow, service, runner);
  }
}

void Dispatcher::DispatchAll() {
  for (auto& [id, service] : services_.all()) {
    Dispatch(service);
  }
}

}  // namespace papayadrift::routing
