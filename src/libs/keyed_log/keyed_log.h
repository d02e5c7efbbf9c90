#ifndef PAPAYADRIFT_KEYED_LOG_KEYED_LOG_H_
#define PAPAYADRIFT_KEYED_LOG_KEYED_LOG_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/instant.h"

// A store whose topics are logs of keyed records: each record can be read for a
// while, and the newest of each key for good.

namespace papayadrift::keyed_log {

struct Record {
  std::string key;
  std::string value;  // Empty: the key is dropped.

  friend bool operator==(const Record&, const Record&) = default;
};

struct StoredRecord {
  uint64_t offset = 0;
  Record record;

  friend bool operator==(const StoredRecord&, const StoredRecord&) = default;
};

// Identity of one append of a writer. The store refuses a lower epoch than it
// has seen, and answers a repeat as it answered the first time.
struct Writer {
  std::string name;
  uint64_t epoch = 0;
  uint64_t sequence = 0;

  friend bool operator==(const Writer&, const Writer&) = default;
};

struct Append {
  std::string topic;
  std::vector<Record> records;           // Stored all or none.
  std::optional<uint64_t> expected_end;  // Refused if the topic ends elsewhere.
  std::optional<Writer> writer;

  friend bool operator==(const Append&, const Append&) = default;
};

// Largest record and append that the store takes, in bytes on its wire.
struct AppendLimits {
  size_t max_record_bytes = 262144;
  size_t max_request_bytes = 2097152;

  friend bool operator==(const AppendLimits&, const AppendLimits&) = default;
};

// Returns an upper bound of what the record takes of an append.
inline size_t SizeOf(const Record& record) {
  constexpr size_t kLengths = 8;  // Of the record and its key.
  return kLengths + record.key.size() + record.value.size();
}

struct Stored {
  uint64_t end = 0;  // Offset behind the last record.

  friend bool operator==(const Stored&, const Stored&) = default;
};
// The topic does not end where the append expected.
struct Moved {
  friend bool operator==(const Moved&, const Moved&) = default;
};
// A writer of a higher epoch has been there, or the sequence does not follow.
struct Fenced {
  friend bool operator==(const Fenced&, const Fenced&) = default;
};
// Certainly not stored.
struct NotStored {
  friend bool operator==(const NotStored&, const NotStored&) = default;
};
// It may be stored now, later, or never.
struct Unanswered {
  friend bool operator==(const Unanswered&, const Unanswered&) = default;
};
// Certainly not stored, and a repeat won't be either.
struct Rejected {
  friend bool operator==(const Rejected&, const Rejected&) = default;
};
using AppendResult =
    std::variant<Stored, Moved, Fenced, NotStored, Unanswered, Rejected>;

struct Records {
  std::vector<StoredRecord> records;
  uint64_t end = 0;       // Of the topic.
  bool has_more = false;  // Of the newest of each key.

  friend bool operator==(const Records&, const Records&) = default;
};
// The records asked for are no longer kept.
struct TooOld {
  friend bool operator==(const TooOld&, const TooOld&) = default;
};
struct ReadFailed {
  friend bool operator==(const ReadFailed&, const ReadFailed&) = default;
};
using ReadResult = std::variant<Records, TooOld, ReadFailed>;

// Calls return at once; each callback runs once, on the caller's event loop,
// at the latest soon after the deadline.
class KeyedLog {
 public:
  virtual ~KeyedLog() = default;

  // Whether the store has answered none of the last calls: another is likely
  // to fail too.
  virtual bool is_out() const = 0;
  // Appends beyond these are rejected.
  virtual AppendLimits limits() const { return {}; }
  virtual void Write(const Append& append,
                     Instant deadline,
                     std::function<void(AppendResult)> done) = 0;
  // Records from offset `from` on; with none there, the answer may be held
  // back for `wait`.
  virtual void Read(const std::string& topic,
                    uint64_t from,
                    milliseconds wait,
                    Instant deadline,
                    std::function<void(ReadResult)> done) = 0;
  // The newest record of each key behind `after_key`; empty: from the first.
  virtual void ReadNewest(const std::string& topic,
                          const std::string& after_key,
                          Instant deadline,
                          std::function<void(ReadResult)> done) = 0;
};

}  // namespace papayadrift::keyed_log

#endif  // PAPAYADRIFT_KEYED_LOG_KEYED_LOG_H_
