#ifndef PAPAYADRIFT_REPLAY_SNAPSHOT_ASSEMBLER_H_
#define PAPAYADRIFT_REPLAY_SNAPSHOT_ASSEMBLER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/identifiers.h"
#include "records/record.h"

namespace papayadrift::replay {

// A snapshot of which every chunk was read.
struct CompleteSnapshot {
  uint64_t snapshot = 0;
  Offset state_offset;  // Replay goes on from here.
  Offset completed_at;  // Offset of its last chunk.
  std::string bytes;

  friend bool operator==(const CompleteSnapshot&,
                         const CompleteSnapshot&) = default;
};

// Why a chunk or the snapshot that it ended was ignored.
enum class SnapshotFault : uint8_t {
  kMalformed,   // Counts or sizes out of bounds.
  kMismatched,  // Chunks that contradict each other, or a wrong checksum.
  kSuperseded,  // Not newer than a complete one.
};

// Puts snapshots together from the chunks of a stream, given in log order. Of
// several complete ones, that with the highest state offset counts; of equal
// ones, the first.
class SnapshotAssembler {
 public:
  // The newest complete snapshot, if there is one.
  const std::optional<CompleteSnapshot>& newest() const { return newest_; }
  // Why the last chunk was ignored, if it was.
  std::optional<SnapshotFault> last_reason() const { return last_reason_; }
  size_t partial_count() const { return partials_.size(); }

  // Takes the next chunk of the stream. One that was read twice counts once.
  void Add(Offset offset, const records::SnapshotChunk& chunk);

 private:
  struct Partial {
    Offset state_offset;
    Offset last_chunk_at;
    uint64_t checksum = 0;
    uint32_t missing = 0;
    std::vector<std::optional<std::string>> parts;
  };

  std::optional<SnapshotFault> Check(const records::SnapshotChunk& chunk) const;
  void Complete(Offset offset, uint64_t snapshot);
  void DropOldestPartials();

  static constexpr size_t kMaximumPartials = 4;

  std::map<uint64_t, Partial> partials_;
  std::optional<CompleteSnapshot> newest_;
  std::optional<SnapshotFault> last_reason_;
};

}  // namespace papayadrift::replay

#endif  // PAPAYADRIFT_REPLAY_SNAPSHOT_ASSEMBLER_H_
