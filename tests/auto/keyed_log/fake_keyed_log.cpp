#include "fake_keyed_log.h"

#include <utility>

namespace papayadrift::keyed_log {

bool FakeKeyedLog::IsRejected(const Append& append) const {
  size_t bytes = 0;
  for (const Record& record : append.records) {
    bytes += SizeOf(record);
    if (SizeOf(record) > limits_.max_record_bytes ||
        record.key == rejected_key_) {
      return true;
    }
  }
  return bytes > limits_.max_request_bytes;
}

AppendResult FakeKeyedLog::Store(const Append& append) {
  if (IsRejected(append)) {
    return Rejected{};
  }
  Topic& topic = topics_[append.topic];
  const uint64_t end = topic.records.size();
  WriterState* writer = nullptr;
  if (append.writer) {
    writer = &topic.writers[append.writer->name];
    if (append.writer->epoch < writer->epoch) {
      return Fenced{};
    }
    if (append.writer->epoch > writer->epoch) {
      *writer = WriterState{append.writer->epoch, {}, std::nullopt};
    }
    const auto repeated = writer->answers.find(append.writer->sequence);
    if (repeated != writer->answers.end()) {
      return repeated->second;
    }
    if (writer->last_sequence &&
        append.writer->sequence != *writer->last_sequence + 1) {
      return Fenced{};
    }
  }
  if (append.expected_end && *append.expected_end != end) {
    return Moved{};
  }
  topic.records.insert(topic.records.end(), append.records.begin(),
                       append.records.end());
  const Stored stored{topic.records.size()};
  if (writer != nullptr) {
    writer->answers[append.writer->sequence] = stored;
    writer->last_sequence = append.writer->sequence;
  }
  return stored;
}

void FakeKeyedLog::Write(const Append& append,
                         Instant /*deadline*/,
                         std::function<void(AppendResult)> done) {
  ++append_count_;
  calls_.emplace_back([this, append, done = std::move(done)] {
    if (is_down_) {
      done(NotStored{});
      return;
    }
    const AppendResult result = Store(append);
    for (auto& read : std::exchange(parked_, {})) {
      calls_.push_back(std::move(read));
    }
    done(loses_answers_ ? AppendResult(Unanswered{}) : result);
  });
}

void FakeKeyedLog::Read(const std::string& topic,
                        uint64_t from,
                        milliseconds wait,
                        Instant /*deadline*/,
                        std::function<void(ReadResult)> done) {
  ++read_counts_[topic];
  calls_.emplace_back([this, topic, from, wait, done = std::move(done)] {
    if (is_down_) {
      done(ReadFailed{});
      return;
    }
    const Topic& held = topics_[topic];
    if (from < held.first) {
      done(TooOld{});
      return;
    }
    if (wait > milliseconds(0) && from >= held.records.size()) {
      parked_.emplace_back([this, topic, from, wait, done] {
        Read(topic, from, wait, {}, done);
      });
      return;
    }
    Records result;
    result.end = held.records.size();
    for (uint64_t i = from; i < held.records.size(); ++i) {
      if (result.records.size() == read_size_) {
        break;
      }
      result.records.push_back({i, held.records[i]});
    }
    done(result);
  });
}

void FakeKeyedLog::ReadNewest(const std::string& topic,
                              const std::string& after_key,
                              Instant /*deadline*/,
                              std::function<void(ReadResult)> done) {
  ++read_counts_[topic];
  calls_.emplace_back([this, topic, after_key, done = std::move(done)] {
    if (is_down_) {
      done(ReadFailed{});
      return;
    }
    const Topic& held = topics_[topic];
    std::map<std::string, StoredRecord> newest;
    for (uint64_t i = 0; i < held.records.size(); ++i) {
      newest[held.records[i].key] = {i, held.records[i]};
    }
    Records result;
    result.end = held.records.size();
    for (const auto& [key, stored] : newest) {
      if (!after_key.empty() && key <= after_key) {
        continue;
      }
      if (result.records.size() == page_size_) {
        result.has_more = true;
        break;
      }
      result.records.push_back(stored);
    }
    done(result);
  });
}

size_t FakeKeyedLog::read_count(const std::string& topic) const {
  const auto it = read_counts_.find(topic);
  return it == read_counts_.end() ? 0 : it->second;
}

void FakeKeyedLog::Settle() {
  while (!calls_.empty()) {
    AnswerNext();
  }
}

void FakeKeyedLog::AnswerNext() {
  if (!calls_.empty()) {
    const auto call = std::move(calls_.front());
    calls_.pop_front();
    call();
  }
}

uint64_t FakeKeyedLog::end_of(const std::string& topic) const {
  const auto it = topics_.find(topic);
  return it == topics_.end() ? 0 : it->second.records.size();
}

void FakeKeyedLog::Expire(const std::string& topic, uint64_t offset) {
  topics_[topic].first = offset;
}

}  // namespace papayadrift::keyed_log
