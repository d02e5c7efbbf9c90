#ifndef PAPAYADRIFT_TESTS_KEYED_LOG_FAKE_KEYED_LOG_H_
#define PAPAYADRIFT_TESTS_KEYED_LOG_FAKE_KEYED_LOG_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "keyed_log/keyed_log.h"

namespace papayadrift::keyed_log {

// A store in memory that answers when it is told to. Writers' epochs and
// repeats are treated as the platform treats them.
class FakeKeyedLog : public KeyedLog {
 public:
  bool is_out() const override { return is_down_; }
  AppendLimits limits() const override { return limits_; }
  void Write(const Append& append,
             Instant deadline,
             std::function<void(AppendResult)> done) override;
  void Read(const std::string& topic,
            uint64_t from,
            milliseconds wait,
            Instant deadline,
            std::function<void(ReadResult)> done) override;
  void ReadNewest(const std::string& topic,
                  const std::string& after_key,
                  Instant deadline,
                  std::function<void(ReadResult)> done) override;

  // Answers calls until none is left.
  void Settle();
  // Answers the oldest call, if there is one.
  void AnswerNext();
  // Offset behind the last record of a topic.
  uint64_t end_of(const std::string& topic) const;
  // Drops records of a topic before `offset`; the newest of each key stay.
  void Expire(const std::string& topic, uint64_t offset);
  void set_is_down(bool is_down) { is_down_ = is_down; }
  void set_loses_answers(bool loses) { loses_answers_ = loses; }
  void set_limits(const AppendLimits& limits) { limits_ = limits; }
  // Appends with a record of this key are rejected for good.
  void set_rejected_key(const std::string& key) { rejected_key_ = key; }
  void set_page_size(size_t size) { page_size_ = size; }
  // Number of records that one read returns at most.
  void set_read_size(size_t size) { read_size_ = size; }
  // Appends that were begun.
  size_t append_count() const { return append_count_; }
  // Reads of a topic that were begun, from either end.
  size_t read_count(const std::string& topic) const;

 private:
  struct WriterState {
    uint64_t epoch = 0;
    std::map<uint64_t, Stored> answers;  // By sequence.
    std::optional<uint64_t> last_sequence;
  };
  struct Topic {
    std::vector<Record> records;
    uint64_t first = 0;
    std::map<std::string, WriterState> writers;
  };

  bool IsRejected(const Append& append) const;
  AppendResult Store(const Append& append);

  std::map<std::string, Topic> topics_;
  std::deque<std::function<void()>> calls_;
  // Reads that wait for a record.
  std::vector<std::function<void()>> parked_;
  bool is_down_ = false;
  bool loses_answers_ = false;
  AppendLimits limits_;
  std::optional<std::string> rejected_key_;
  size_t page_size_ = 500;
  size_t read_size_ = SIZE_MAX;
  size_t append_count_ = 0;
  std::map<std::string, size_t> read_counts_;
};

}  // namespace papayadrift::keyed_log

#endif  // PAPAYADRIFT_TESTS_KEYED_LOG_FAKE_KEYED_LOG_H_
