#include "lease/lapse_timer.h"

#include <algorithm>

#include "lease/rule.h"

namespace papayadrift::lease {

LapseTimer::LapseTimer(LeaseSettings settings) : settings_(settings) {}

void LapseTimer::OnLapseSeen(const LapseSubject& subject, Instant seen_at) {
  const bool is_worker = std::holds_alternative<WorkerKey>(subject);
  complete_at_.try_emplace(
      subject, is_worker ? WorkerLapseCompleteAt(seen_at, settings_)
                         : EntryLapseCompleteAt(seen_at, settings_));
}

void LapseTimer::OnSubjectRemoved(const LapseSubject& subject) {
  complete_at_.erase(subject);
}

std::vector<LapseSubject> LapseTimer::CompletedLapses(Instant now) const {
  std::vector<LapseSubject> complete;
  for (const auto& [subject, at] : complete_at_) {
    if (at <= now) {
      complete.push_back(subject);
    }
  }
  return complete;
}

std::optional<Instant> LapseTimer::NextCompletionAt() const {
  const auto it = std::ranges::min_element(
      complete_at_, {}, [](const auto& entry) { return entry.second; });
  return it == complete_at_.end() ? std::nullopt : std::optional(it->second);
}

}  // namespace papayadrift::lease
