#include "proposals/stream_reader.h"

#include <cassert>
#include <utility>

namespace papayadrift::proposals {

StreamReader::StreamReader(Offset from,
                           const ReaderLimits& limits,
                           uint64_t seed)
    : limits_(limits), back_off_(seed), next_offset_(from) {}

std::optional<Instant> StreamReader::wake_at() const {
  if (read_began_at_ || is_behind_retention_) {
    return std::nullopt;
  }
  return back_off_.retry_at();
}

std::optional<StartRead> StreamReader::Start(Instant now) {
  const std::optional<Instant> at = wake_at();
  if (!at || now < *at) {
    return std::nullopt;
  }
  read_began_at_ = now;
  return StartRead{.from = next_offset_,
                   .limit = limits_.maximum_records,
                   .wait_milliseconds = limits_.wait_milliseconds};
}

ReadEvent StreamReader::OnResult(Instant now, log::ReadResult result) {
  assert(read_began_at_);
  if (std::exchange(is_read_stale_, false)) {
    read_began_at_.reset();
    return NextRecords{.records = {}, .tail = next_offset_};
  }
  if (auto* read = std::get_if<log::ReadRecords>(&result)) {
    return OnRecords(now, std::move(*read));
  }
  read_began_at_.reset();
  if (const auto* too_old = std::get_if<log::ReadTooOld>(&result)) {
    back_off_.OnSuccess();
    is_behind_retention_ = true;
    return ReadBehindRetention{.oldest = too_old->oldest,
                               .tail = too_old->next};
  }
  back_off_.OnFailure(now);
  return ReadFault::kNoAnswer;
}

void StreamReader::Restart(Offset from) {
  assert(from >= next_offset_);
  is_read_stale_ = read_began_at_.has_value();
  next_offset_ = from;
  is_behind_retention_ = false;
  // Records were skipped, so that earlier reads of the tail no longer count.
  tail_read_began_at_.reset();
}

ReadEvent StreamReader::OnRecords(Instant now, log::ReadRecords read) {
  const Instant began_at = *std::exchange(read_began_at_, std::nullopt);
  if (const std::optional<ReadFault> fault = Check(read)) {
    back_off_.OnFailure(now);
    return *fault;
  }
  back_off_.OnSuccess();
  next_offset_ = Offset(next_offset_.value() + read.records.size());
  if (next_offset_ == read.next) {
    tail_read_began_at_ = began_at;
  }
  return NextRecords{.records = std::move(read.records), .tail = read.next};
}

std::optional<ReadFault> StreamReader::Check(
    const log::ReadRecords& read) const {
  if (read.next < next_offset_) {
    return ReadFault::kOffsetDecreased;
  }
  Offset expected = next_offset_;
  for (const log::StoredRecord& record : read.records) {
    if (record.offset != expected || record.offset >= read.next) {
      return ReadFault::kGap;
    }
    expected = expected.Next();
  }
  return std::nullopt;
}

}  // namespace papayadrift::proposals
