#ifndef PAPAYADRIFT_ROUTING_SLOT_HOLDS_H_
#define PAPAYADRIFT_ROUTING_SLOT_HOLDS_H_

#include <map>
#include <memory>
#include <optional>

#include "base/instant.h"
#include "routing/slot_account.h"

namespace papayadrift::routing {

// Slots of sends that ended without an answer: the runner may still work on
// them, so they count as used until the runner has surely stopped.
class SlotHolds {
 public:
  void Hold(std::shared_ptr<SlotAccount> account, Instant until);

  // Gives back the slots whose time has come; returns whether there were any.
  bool Release(Instant now);
  std::optional<Instant> earliest() const;
  bool is_empty() const { return holds_.empty(); }

 private:
  std::multimap<Instant, std::shared_ptr<SlotAccount>> holds_;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_SLOT_HOLDS_H_
