#include "routing/slot_demand_p.h"

namespace papayadrift::routing {

SlotDemand::SlotDemand(const RoutingSettings& settings,
                       EventContext& context,
                       ServiceTable& services,
                       const FlowTable& flows,
                       const RequestQueues& queues)
    : settings_(settings),
      context_(context),
      services_(services),
      flows_(flows),
      queues_(queues) {}

void SlotDemand::OnRefused(ServiceState& service) {
  service.AddSlotShortage();
  SetDue();
}

void SlotDemand::Report() {
  if (queues_.waiting_count() > 0) {
    SetDue();
  }
  if (!due_at_ || context_.now() < *due_at_) {
    return;
  }
  due_at_.reset();
  if (queues_.waiting_count() > 0) {
    SetDue();
  }
  for (auto& [id, service] : services_.all()) {
    if (const size_t n = RequestsShortOf(service); n > 0) {
      context_.Add(SlotsWanted{id, n});
    }
  }
}

void SlotDemand::SetDue() {
  if (!due_at_) {
    due_at_ = context_.now() + settings_.slot_request_delay;
  }
}

size_t SlotDemand::RequestsShortOf(ServiceState& service) const {
  const size_t refused = service.TakeSlotShortages();
  const auto oldest = service.queue().Oldest();
  const bool is_delay_exceeded =
      oldest && context_.now() - flows_.At(*oldest).waiting_since() >=
                    settings_.slot_request_delay;
  return refused + (is_delay_exceeded ? service.queue().size() : 0);
}

}  // namespace papayadrift::routing
