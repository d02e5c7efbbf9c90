#ifndef PAPAYADRIFT_ROUTING_DEFERRED_SLOT_RELEASES_H_
#define PAPAYADRIFT_ROUTING_DEFERRED_SLOT_RELEASES_H_

#include <map>
#include <memory>
#include <optional>

#include "base/instant.h"
#include "routing/slot_counter.h"

namespace papayadrift::routing {

// Slots of sends that ended without a response. The runner may still process
// the request, so a slot counts as used until the runner must have stopped.
class DeferredSlotReleases {
 public:
  void Add(std::shared_ptr<SlotCounter> counter, Instant until);

  // Releases the slots that are due; returns whether there were any.
  bool ReleaseDue(Instant now);
  std::optional<Instant> earliest() const;
  bool is_empty() const { return releases_.empty(); }

 private:
  std::multimap<Instant, std::shared_ptr<SlotCounter>> releases_;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_DEFERRED_SLOT_RELEASES_H_
