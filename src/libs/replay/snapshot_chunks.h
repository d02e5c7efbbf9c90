#ifndef PAPAYADRIFT_REPLAY_SNAPSHOT_CHUNKS_H_
#define PAPAYADRIFT_REPLAY_SNAPSHOT_CHUNKS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "base/identifiers.h"
#include "records/record.h"

namespace papayadrift::replay {

constexpr size_t kMaximumChunkBytes = size_t{64} * 1'024;
constexpr uint32_t kMaximumChunks = 4'096;

// Returns the checksum that the chunks of a snapshot with these bytes carry.
uint64_t SnapshotChecksum(std::string_view bytes);

// Splits a snapshot of the state just before `state_offset` into chunks, in
// order. `snapshot` must be unique for each author and time.
std::vector<records::SnapshotChunk> SplitSnapshot(uint64_t snapshot,
                                                  Offset state_offset,
                                                  std::string_view bytes);

}  // namespace papayadrift::replay

#endif  // PAPAYADRIFT_REPLAY_SNAPSHOT_CHUNKS_H_
