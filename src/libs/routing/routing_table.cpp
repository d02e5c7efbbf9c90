#include "routing/routing_table.h"

#include <algorithm>
#include <utility>

namespace papayadrift::routing {

int32_t UsableShare(const RunnerRoute& runner) {
  if (runner.state != RunnerState::kServing) {
    return 0;
  }
  return std::max(0, std::min(runner.slot_share, runner.connection_share));
}

SlotLimit UsableSlots(const RunnerRoute& runner) {
  return {UsableShare(runner), runner.slots_until};
}

RoutingTable::RoutingTable(std::vector<ServiceRoute> services)
    : services_(std::move(services)) {
  std::ranges::sort(services_, {}, &ServiceRoute::service);
}

const ServiceRoute* RoutingTable::Find(const ServiceId& service) const {
  const auto it =
      std::ranges::lower_bound(services_, service, {}, &ServiceRoute::service);
  if (it == services_.end() || it->service != service) {
    return nullptr;
  }
  return &*it;
}

}  // namespace papayadrift::routing
