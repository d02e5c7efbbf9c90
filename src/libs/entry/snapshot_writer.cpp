#include "entry/snapshot_writer.h"

#include <utility>
#include <variant>
#include <vector>

#include "replay/snapshot_chunks.h"

namespace papayadrift::entry {

SnapshotWriter::SnapshotWriter(const proposals::SnapshotLimits& limits,
                               DecisionStream& decisions,
                               const Clock& clock,
                               uint64_t seed)
    : decisions_(decisions),
      clock_(clock),
      schedule_(limits, clock.Now(), Offset(1)),
      next_snapshot_(seed) {}

void SnapshotWriter::OnTime(uint32_t rank) {
  const Offset here = decisions_.state().next_offset();
  if (chunks_on_their_way_ > 0 || !decisions_.is_log_available() ||
      !schedule_.IsDue(clock_.Now(), here, rank)) {
    return;
  }
  std::vector<records::SnapshotChunk> chunks = replay::SplitSnapshot(
      next_snapshot_++, here, decisions_.state().Snapshot());
  schedule_.OnSnapshot(clock_.Now(), here);
  ++written_count_;
  chunks_on_their_way_ = chunks.size();
  for (records::SnapshotChunk& chunk : chunks) {
    decisions_.Propose(std::move(chunk), [this](const ProposalOutcome&) {
      --chunks_on_their_way_;
    });
  }
}

void SnapshotWriter::OnApplied(Offset offset,
                               const replay::AppliedProposal& applied) {
  const auto* chunk =
      std::get_if<records::SnapshotChunk>(&applied.proposal.record);
  if (chunk == nullptr || !applied.verdict.is_accepted()) {
    return;
  }
  assembler_.Add(offset, *chunk);
  if (assembler_.newest() && assembler_.newest()->state_offset > newest_) {
    newest_ = assembler_.newest()->state_offset;
    schedule_.OnSnapshot(clock_.Now(), newest_);
  }
}

void SnapshotWriter::OnRestored() {}

}  // namespace papayadrift::entry
