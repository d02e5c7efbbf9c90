#ifndef PAPAYADRIFT_PROPOSALS_SNAPSHOT_SCHEDULE_H_
#define PAPAYADRIFT_PROPOSALS_SNAPSHOT_SCHEDULE_H_

#include <chrono>
#include <cstdint>

#include "base/identifiers.h"
#include "base/instant.h"

namespace papayadrift::proposals {

struct SnapshotLimits {
  // A snapshot is due this long after the last one, well within the log's
  // retention.
  microseconds period = std::chrono::minutes(10);
  // A snapshot is due after this many offsets, if that comes first.
  uint64_t offsets = 20'000;
  // An entry of rank n waits n times this longer, so that one entry writes and
  // the others take over if it fails.
  microseconds stagger = seconds(30);
  uint64_t stagger_offsets = 1'000;
};

// Determines when one process writes a snapshot into the stream.
class SnapshotSchedule {
 public:
  SnapshotSchedule(const SnapshotLimits& limits, Instant start, Offset from);

  // Whether this process, with `rank` among the active entries, is to write a
  // snapshot of its state before `next_offset`.
  bool IsDue(Instant now, Offset next_offset, uint32_t rank) const;

  // Records a snapshot of the state before `state_offset` that was read
  // completely from the stream, or was proposed by this process.
  void OnSnapshot(Instant now, Offset state_offset);

 private:
  const SnapshotLimits limits_;
  Instant last_at_;
  Offset last_state_offset_;
};

}  // namespace papayadrift::proposals

#endif  // PAPAYADRIFT_PROPOSALS_SNAPSHOT_SCHEDULE_H_
