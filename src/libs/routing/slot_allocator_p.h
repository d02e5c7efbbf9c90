#ifndef PAPAYADRIFT_ROUTING_SLOT_ALLOCATOR_P_H_
#define PAPAYADRIFT_ROUTING_SLOT_ALLOCATOR_P_H_

#include <atomic>
#include <span>

#include "routing/event_context_p.h"
#include "routing/runner_pool.h"
#include "routing/service_state.h"
#include "routing/slot_counter.h"

namespace papayadrift::routing {

// Acquires slots of runners while the entry is allowed to use them.
class SlotAllocator {
 public:
  explicit SlotAllocator(const EventContext& context);

  // No slots are acquired from `until` on. Replaces the previous limit;
  // initially there is none. Thread-safe. Returns the previous limit.
  Instant SetUsableUntil(Instant until);

  // Acquires a slot of the service at a runner that is not in `excluded`.
  // Returns null if there is none.
  RunnerPointer Acquire(ServiceState& service,
                        std::span<const RunnerPointer> excluded);

 private:
  const EventContext& context_;
  std::atomic<Instant> usable_until_{SlotLimit::kNoExpiry};
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_SLOT_ALLOCATOR_P_H_
