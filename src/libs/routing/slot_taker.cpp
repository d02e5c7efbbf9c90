#include "routing/slot_taker_p.h"

namespace papayadrift::routing {

SlotTaker::SlotTaker(const EventContext& context) : context_(context) {}

Instant SlotTaker::SetUsableUntil(Instant until) {
  return usable_until_.exchange(until);
}

RunnerPointer SlotTaker::Take(ServiceState& service,
                              std::span<const RunnerPointer> excluded) {
  if (context_.now() >= usable_until_.load()) {
    return nullptr;
  }
  return service.pool().TakeSlot(excluded, context_.now());
}

}  // namespace papayadrift::routing
