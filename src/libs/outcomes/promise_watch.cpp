#include "outcomes/promise_watch.h"

#include <utility>

namespace papayadrift::outcomes {

void PromiseWatch::Observe(const std::string& promise,
                           bool is_kept,
                           WallInstant now) {
  if (!is_kept) {
    missed_since_.try_emplace(promise, now);
    return;
  }
  const auto it = missed_since_.find(promise);
  if (it == missed_since_.end()) {
    return;
  }
  ended_.push_back({promise, it->second, now});
  missed_since_.erase(it);
}

std::vector<records::PromiseMissed> PromiseWatch::TakeMissed(WallInstant now) {
  std::vector<records::PromiseMissed> missed = std::exchange(ended_, {});
  for (auto& [promise, since] : missed_since_) {
    missed.push_back({promise, std::exchange(since, now), now});
  }
  return missed;
}

}  // namespace papayadrift::outcomes
