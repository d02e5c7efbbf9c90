#ifndef PAPAYADRIFT_ENTRY_SNAPSHOT_WRITER_H_
#define PAPAYADRIFT_ENTRY_SNAPSHOT_WRITER_H_

#include <cstddef>
#include <cstdint>

#include "base/clock.h"
#include "entry/decision_stream.h"
#include "proposals/snapshot_schedule.h"
#include "replay/snapshot_assembler.h"

namespace papayadrift::entry {

// Writes a snapshot of the replayed state into the decision stream when enough
// records or time have passed since the last complete one. On the control
// thread only.
class SnapshotWriter : public DecisionListener {
 public:
  SnapshotWriter(const proposals::SnapshotLimits& limits,
                 DecisionStream& decisions,
                 const Clock& clock,
                 uint64_t seed);

  // `rank` is this entry's place among those that may write one.
  void OnTime(uint32_t rank);

  void OnApplied(Offset offset,
                 const replay::AppliedProposal& applied) override;
  void OnRestored() override;

  uint64_t written_count() const { return written_count_; }

 private:
  DecisionStream& decisions_;
  const Clock& clock_;
  proposals::SnapshotSchedule schedule_;
  replay::SnapshotAssembler assembler_;
  uint64_t next_snapshot_;
  Offset newest_;
  size_t chunks_on_their_way_ = 0;
  uint64_t written_count_ = 0;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_SNAPSHOT_WRITER_H_
