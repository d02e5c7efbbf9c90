#include "proposals/snapshot_schedule.h"

#include <algorithm>

namespace papayadrift::proposals {

SnapshotSchedule::SnapshotSchedule(const SnapshotLimits& limits,
                                   Instant start,
                                   Offset from)
    : limits_(limits), last_at_(start), last_state_offset_(from) {}

bool SnapshotSchedule::IsDue(Instant now,
                             Offset next_offset,
                             uint32_t rank) const {
  if (next_offset <= last_state_offset_) {
    return false;
  }
  const uint64_t offsets = next_offset.value() - last_state_offset_.value();
  const bool is_period_over =
      now >= last_at_ + limits_.period + limits_.stagger * rank;
  const bool is_offset_limit_reached =
      offsets >= limits_.offsets + limits_.stagger_offsets * rank;
  return is_period_over || is_offset_limit_reached;
}

void SnapshotSchedule::OnSnapshot(Instant now, Offset state_offset) {
  if (state_offset <= last_state_offset_) {
    return;
  }
  last_at_ = now;
  last_state_offset_ = state_offset;
}

}  // namespace papayadrift::proposals
