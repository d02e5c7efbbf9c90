#include "fake_log.h"

#include <algorithm>
#include <utility>

namespace papayadrift::test {

void FakeLog::Append(const log::StreamId& /*stream*/,
                     std::string bytes,
                     std::function<void(log::AppendResult)> done) {
  log::AppendResult result = log::AppendUnanswered();
  if (!is_down_) {
    result = is_faulty_ ? AppendFaulty(bytes)
                        : log::Appended{.offset = Store(bytes)};
  }
  answers_.emplace_back([result, done = std::move(done)] { done(result); });
}

void FakeLog::Read(const log::StreamId& /*stream*/,
                   Offset from,
                   uint32_t limit,
                   uint32_t /*wait_milliseconds*/,
                   std::function<void(log::ReadResult)> done) {
  const bool is_lost = is_down_ || (is_faulty_ && random_(8) == 0);
  const log::ReadResult result =
      is_lost ? log::ReadFailed() : ReadNow(from, limit);
  answers_.emplace_back([result, done = std::move(done)] { done(result); });
}

log::ReadResult FakeLog::ReadNow(Offset from, uint32_t limit) const {
  if (from < oldest_) {
    return log::ReadTooOld{.oldest = oldest_, .next = next()};
  }
  log::ReadRecords read = {.records = {}, .oldest = oldest_, .next = next()};
  for (Offset i = from; i < next() && read.records.size() < limit;
       i = i.Next()) {
    read.records.push_back({.offset = i, .bytes = records_[i.value() - 1]});
  }
  return read;
}

void FakeLog::Drop(Offset oldest) {
  oldest_ = std::max(oldest_, std::min(oldest, next()));
}

void FakeLog::DeliverRandom() {
  if (answers_.empty()) {
    return;
  }
  const auto it = answers_.begin() + random_(answers_.size());
  const std::function<void()> answer = std::move(*it);
  answers_.erase(it);
  answer();
}

void FakeLog::DeliverAll() {
  for (const auto& answer : std::exchange(answers_, {})) {
    answer();
  }
}

void FakeLog::StoreRandomDelayed() {
  if (delayed_.empty()) {
    return;
  }
  const auto it = delayed_.begin() + random_(delayed_.size());
  Store(*it);
  delayed_.erase(it);
}

void FakeLog::StoreAllDelayed() {
  while (!delayed_.empty()) {
    StoreRandomDelayed();
  }
}

log::AppendResult FakeLog::AppendFaulty(const std::string& bytes) {
  switch (random_(10)) {
    case 0:
      return log::AppendRefused();
    case 1:
      return log::AppendUnanswered();
    case 2:
      Store(bytes);
      return log::AppendUnanswered();
    case 3:
      delayed_.push_back(bytes);
      return log::AppendUnanswered();
    case 4:
      delayed_.push_back(bytes);
      break;
    default:
      break;
  }
  return log::Appended{.offset = Store(bytes)};
}

Offset FakeLog::Store(const std::string& bytes) {
  records_.push_back(bytes);
  return Offset(records_.size());
}

}  // namespace papayadrift::test
