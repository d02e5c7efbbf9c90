#include "replay/snapshot_chunks.h"

#include <algorithm>
#include <cassert>
#include <string>

#include "base/hash.h"

namespace papayadrift::replay {

uint64_t SnapshotChecksum(std::string_view bytes) {
  return StableHash(bytes);
}

std::vector<records::SnapshotChunk> SplitSnapshot(uint64_t snapshot,
                                                  Offset state_offset,
                                                  std::string_view bytes) {
  const size_t count = std::max<size_t>(
      1, (bytes.size() + kMaximumChunkBytes - 1) / kMaximumChunkBytes);
  assert(count <= kMaximumChunks);
  const uint64_t checksum = SnapshotChecksum(bytes);
  std::vector<records::SnapshotChunk> chunks;
  for (uint32_t i = 0; i < count; ++i) {
    const std::string_view part =
        bytes.substr(i * kMaximumChunkBytes, kMaximumChunkBytes);
    chunks.push_back({.snapshot = snapshot,
                      .state_offset = state_offset,
                      .index = i,
                      .count = static_cast<uint32_t>(count),
                      .checksum = checksum,
                      .bytes = std::string(part)});
  }
  return chunks;
}

}  // namespace papayadrift::replay
