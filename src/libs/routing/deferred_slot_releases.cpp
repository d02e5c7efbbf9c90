#include "routing/deferred_slot_releases.h"

#include <utility>

namespace papayadrift::routing {

void DeferredSlotReleases::Add(std::shared_ptr<SlotCounter> counter,
                               Instant until) {
  releases_.emplace(until, std::move(counter));
}

bool DeferredSlotReleases::ReleaseDue(Instant now) {
  const auto end = releases_.upper_bound(now);
  const bool is_any_due = end != releases_.begin();
  for (auto it = releases_.begin(); it != end; ++it) {
    it->second->Release();
  }
  releases_.erase(releases_.begin(), end);
  return is_any_due;
}

std::optional<Instant> DeferredSlotReleases::earliest() const {
  if (releases_.empty()) {
    return std::nullopt;
  }
  return releases_.begin()->first;
}

}  // namespace papayadrift::routing
