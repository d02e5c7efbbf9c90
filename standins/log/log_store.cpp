#include "standins/log/log_store.h"

#include <algorithm>
#include <utility>

namespace papayadrift::standins {

LogStore::LogStore(size_t retained_records)
    : retained_records_(std::max<size_t>(1, retained_records)) {}

Offset LogStore::Append(const log::StreamId& stream, std::string bytes) {
  Stream& kept = streams_[stream];
  ++append_count_;
  byte_count_ += bytes.size();
  kept.records.push_back(std::move(bytes));
  const Offset offset(kept.oldest + kept.records.size() - 1);
  if (kept.records.size() > retained_records_) {
    kept.records.pop_front();
    ++kept.oldest;
  }
  return offset;
}

log::ReadResult LogStore::Read(const log::StreamId& stream,
                               Offset from,
                               uint32_t limit) const {
  static const Stream no_records;
  const auto it = streams_.find(stream);
  const Stream& kept = it == streams_.end() ? no_records : it->second;
  const Offset oldest(kept.oldest);
  const Offset next(kept.oldest + kept.records.size());
  if (from < oldest) {
    return log::ReadTooOld{oldest, next};
  }
  log::ReadRecords read{{}, oldest, next};
  const uint64_t end =
      std::min(next.value(), from.value() + std::min<uint64_t>(limit, 10'000));
  for (uint64_t i = from.value(); i < end; ++i) {
    read.records.push_back({Offset(i), kept.records[i - kept.oldest]});
  }
  return read;
}

}  // namespace papayadrift::standins
