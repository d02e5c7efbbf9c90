#ifndef PAPAYADRIFT_PROPOSALS_RECOVERY_SEARCH_H_
#define PAPAYADRIFT_PROPOSALS_RECOVERY_SEARCH_H_

#include <cstdint>
#include <optional>
#include <variant>

#include "base/identifiers.h"
#include "log/log_port.h"
#include "proposals/stream_reader.h"
#include "replay/snapshot_assembler.h"

namespace papayadrift::proposals {

// Where replay starts: from the empty state at offset 1, or from a snapshot at
// its state offset.
struct RecoveryFound {
  std::optional<replay::CompleteSnapshot> snapshot;
  Offset from;

  friend bool operator==(const RecoveryFound&, const RecoveryFound&) = default;
};

enum class RecoveryFault : uint8_t {
  kLogUnavailable,  // Retry later: Start() repeats the last read.
  kNoSnapshot,  // The log's records do not suffice: a peer's state is needed.
};

using RecoveryStep = std::variant<StartRead, RecoveryFound, RecoveryFault>;

// Finds the newest complete snapshot of a stream without reading all of it:
// searches the end of the stream, and doubles the span each time that nothing
// is found there. Not thread-safe.
class RecoverySearch {
 public:
  // `first_span` is the number of records to search first, ideally twice the
  // number between two snapshots.
  explicit RecoverySearch(uint64_t first_span);

  // Number of records read so far.
  uint64_t records_read() const { return records_read_; }

  // The first read, or the one to repeat.
  StartRead Start() const;
  RecoveryStep OnResult(const log::ReadResult& result);

 private:
  RecoveryStep OnBounds(Offset oldest, Offset next);
  RecoveryStep OnRecords(const log::ReadRecords& read);
  RecoveryStep ReadSpan();
  RecoveryStep FinishSpan();
  void AddChunks(const log::StoredRecord& record);
  bool IsUsable(const replay::CompleteSnapshot& snapshot) const;

  uint64_t span_;
  bool has_bounds_ = false;
  Offset oldest_;
  Offset end_;
  Offset begin_;
  Offset next_{1};
  uint64_t records_read_ = 0;
  replay::SnapshotAssembler assembler_;
};

}  // namespace papayadrift::proposals

#endif  // PAPAYADRIFT_PROPOSALS_RECOVERY_SEARCH_H_
