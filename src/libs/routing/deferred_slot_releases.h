#ifndef PAPAYADRIFT_ROUTING_DEFERRED_SLOT_RELEASES_H_
#define PAPAYADRIFT_ROUTING_DEFERRED_SLOT_RELEASES_H_

#include <map>
#include <memory>
#include <optional>

#include "base/instant.h"
#include "routing/slot_counter.h"

namespace papayadrift::routing {

// Slots of sends that ended without an answer: the runner may still work on
// them, so they count as used until the runner has surely stopped.
class DeferredSlotReleases {
 public:
  void Add(std::shared_ptr<SlotCounter> counter, Instant until);

  // Gives back the slots whose time has come; returns whether there were any.
  bool ReleaseDue(Instant now);
  std::optional<Instant> earliest() const;
  bool is_empty() const { return releases_.empty(); }

 private:
  std::multimap<Instant, std::shared_ptr<SlotCounter>> releases_;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_DEFERRED_SLOT_RELEASES_H_
