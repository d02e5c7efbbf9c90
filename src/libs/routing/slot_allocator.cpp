#include "routing/slot_allocator_p.h"

namespace papayadrift::routing {

SlotAllocator::SlotAllocator(const EventContext& context) : context_(context) {}

Instant SlotAllocator::SetUsableUntil(Instant until) {
  return usable_until_.exchange(until);
}

RunnerPointer SlotAllocator::Acquire(ServiceState& service,
                                     std::span<const RunnerPointer> excluded) {
  if (context_.now() >= usable_until_.load()) {
    return nullptr;
  }
  return service.pool().AcquireSlot(excluded, context_.now());
}

}  // namespace papayadrift::routing
