#include "routing/slot_holds.h"

#include <utility>

namespace papayadrift::routing {

void SlotHolds::Hold(std::shared_ptr<SlotAccount> account, Instant until) {
  holds_.emplace(until, std::move(account));
}

bool SlotHolds::Release(Instant now) {
  const auto end = holds_.upper_bound(now);
  const bool is_any_due = end != holds_.begin();
  for (auto it = holds_.begin(); it != end; ++it) {
    it->second->GiveBack();
  }
  holds_.erase(holds_.begin(), end);
  return is_any_due;
}

std::optional<Instant> SlotHolds::earliest() const {
  if (holds_.empty()) {
    return std::nullopt;
  }
  return holds_.begin()->first;
}

}  // namespace papayadrift::routing
