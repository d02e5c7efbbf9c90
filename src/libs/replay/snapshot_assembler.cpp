#include "replay/snapshot_assembler.h"

#include <algorithm>
#include <utility>

#include "replay/snapshot_chunks.h"

namespace papayadrift::replay {

void SnapshotAssembler::Add(Offset offset,
                            const records::SnapshotChunk& chunk) {
  last_reason_ = Check(chunk);
  if (last_reason_) {
    if (last_reason_ == SnapshotFault::kMismatched) {
      partials_.erase(chunk.snapshot);
    }
    return;
  }
  Partial& partial = partials_[chunk.snapshot];
  if (partial.parts.empty()) {
    partial.state_offset = chunk.state_offset;
    partial.checksum = chunk.checksum;
    partial.missing = chunk.count;
    partial.parts.resize(chunk.count);
  }
  partial.last_chunk_at = offset;
  std::optional<std::string>& part = partial.parts[chunk.index];
  if (!part) {
    part = chunk.bytes;
    --partial.missing;
  }
  if (partial.missing == 0) {
    Complete(offset, chunk.snapshot);
  }
  DropOldestPartials();
}

std::optional<SnapshotFault> SnapshotAssembler::Check(
    const records::SnapshotChunk& chunk) const {
  if (chunk.count == 0 || chunk.count > kMaximumChunks ||
      chunk.index >= chunk.count || chunk.bytes.size() > kMaximumChunkBytes) {
    return SnapshotFault::kMalformed;
  }
  if (newest_ && chunk.state_offset <= newest_->state_offset) {
    return SnapshotFault::kSuperseded;
  }
  const auto it = partials_.find(chunk.snapshot);
  if (it == partials_.end()) {
    return std::nullopt;
  }
  const Partial& partial = it->second;
  const bool is_match = partial.parts.size() == chunk.count &&
                        partial.checksum == chunk.checksum &&
                        partial.state_offset == chunk.state_offset;
  return is_match ? std::nullopt : std::optional(SnapshotFault::kMismatched);
}

void SnapshotAssembler::Complete(Offset offset, uint64_t snapshot) {
  const auto node = partials_.extract(snapshot);
  const Partial& partial = node.mapped();
  std::string bytes;
  for (const std::optional<std::string>& part : partial.parts) {
    bytes += *part;
  }
  if (SnapshotChecksum(bytes) != partial.checksum) {
    last_reason_ = SnapshotFault::kMismatched;
    return;
  }
  newest_ = CompleteSnapshot{.snapshot = snapshot,
                             .state_offset = partial.state_offset,
                             .completed_at = offset,
                             .bytes = std::move(bytes)};
  std::erase_if(partials_, [&](const auto& other) {
    return other.second.state_offset <= newest_->state_offset;
  });
}

void SnapshotAssembler::DropOldestPartials() {
  while (partials_.size() > kMaximumPartials) {
    partials_.erase(std::ranges::min_element(
        partials_, {},
        [](const auto& partial) { return partial.second.last_chunk_at; }));
  }
}

}  // namespace papayadrift::replay
