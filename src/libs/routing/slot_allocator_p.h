#ifndef PAPAYADRIFT_ROUTING_SLOT_ALLOCATOR_P_H_
#define PAPAYADRIFT_ROUTING_SLOT_ALLOCATOR_P_H_

#include <atomic>
#include <span>

#include "routing/event_context_p.h"
#include "routing/runner_pool.h"
#include "routing/service_state.h"
#include "routing/slot_counter.h"

namespace papayadrift::routing {

// Takes slots of runners while the entry has the right to.
class SlotAllocator {
 public:
  explicit SlotAllocator(const EventContext& context);

  // Ends the right at `until`, which replaces any earlier end; at first there
  // is none. Safe in any thread. Returns the earlier one.
  Instant SetUsableUntil(Instant until);

  // Takes a slot of the service at a runner that is not in `excluded`. Returns
  // null when there is none.
  RunnerPointer Acquire(ServiceState& service,
                        std::span<const RunnerPointer> excluded);

 private:
  const EventContext& context_;
  std::atomic<Instant> usable_until_{SlotLimit::kNoExpiry};
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_SLOT_ALLOCATOR_P_H_
