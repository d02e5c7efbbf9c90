#include "proposals/recovery_search.h"

#include <algorithm>

#include "records/codec.h"

namespace papayadrift::proposals {

namespace {

constexpr uint32_t kRecordsPerRead = 256;

}  // namespace

RecoverySearch::RecoverySearch(uint64_t first_span)
    : span_(std::max<uint64_t>(first_span, 1)) {}

StartRead RecoverySearch::Start() const {
  return {.from = next_,
          .limit = has_bounds_ ? kRecordsPerRead : 1,
          .wait_milliseconds = 0};
}

RecoveryStep RecoverySearch::OnResult(const log::ReadResult& result) {
  if (const auto* too_old = std::get_if<log::ReadTooOld>(&result)) {
    return OnBounds(too_old->oldest, too_old->next);
  }
  if (const auto* read = std::get_if<log::ReadRecords>(&result)) {
    return has_bounds_ ? OnRecords(*read) : OnBounds(read->oldest, read->next);
  }
  return RecoveryFault::kLogUnavailable;
}

RecoveryStep RecoverySearch::OnBounds(Offset oldest, Offset next) {
  // Also called when the log drops records that were about to be read.
  has_bounds_ = true;
  oldest_ = oldest;
  end_ = next;
  return ReadSpan();
}

RecoveryStep RecoverySearch::OnRecords(const log::ReadRecords& read) {
  oldest_ = std::max(oldest_, read.oldest);
  for (const log::StoredRecord& record : read.records) {
    if (record.offset != next_) {
      return RecoveryFault::kLogUnavailable;
    }
    next_ = next_.Next();
    ++records_read_;
    AddChunks(record);
  }
  if (next_ >= end_) {
    return FinishSpan();
  }
  return read.records.empty() ? RecoveryStep(RecoveryFault::kLogUnavailable)
                              : RecoveryStep(Start());
}

RecoveryStep RecoverySearch::ReadSpan() {
  const uint64_t length = end_.value() - oldest_.value();
  begin_ = span_ < length ? Offset(end_.value() - span_) : oldest_;
  next_ = begin_;
  assembler_ = replay::SnapshotAssembler();
  return begin_ < end_ ? RecoveryStep(Start()) : FinishSpan();
}

RecoveryStep RecoverySearch::FinishSpan() {
  if (assembler_.newest() && IsUsable(*assembler_.newest())) {
    return RecoveryFound{.snapshot = assembler_.newest(),
                         .from = assembler_.newest()->state_offset};
  }
  if (begin_ > oldest_) {
    span_ *= 2;
    return ReadSpan();
  }
  if (oldest_ <= Offset(1)) {
    return RecoveryFound{.snapshot = std::nullopt, .from = Offset(1)};
  }
  return RecoveryFault::kNoSnapshot;
}

void RecoverySearch::AddChunks(const log::StoredRecord& record) {
  for (const records::Proposal& proposal :
       records::Decode(record.bytes).value_or(records::Batch())) {
    const auto* chunk = std::get_if<records::SnapshotChunk>(&proposal.record);
    if (chunk != nullptr && record.offset <= proposal.last_offset) {
      assembler_.Add(record.offset, *chunk);
    }
  }
}

bool RecoverySearch::IsUsable(const replay::CompleteSnapshot& snapshot) const {
  return snapshot.state_offset >= oldest_ &&
         snapshot.state_offset <= snapshot.completed_at;
}

}  // namespace papayadrift::proposals
