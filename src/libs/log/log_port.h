#ifndef PAPAYADRIFT_LOG_LOG_PORT_H_
#define PAPAYADRIFT_LOG_LOG_PORT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "base/identifiers.h"

namespace papayadrift::log {

using StreamId = Name<struct StreamTag>;

// One stored record: its bytes are an encoded records::Batch.
struct StoredRecord {
  Offset offset;
  std::string bytes;

  friend bool operator==(const StoredRecord&, const StoredRecord&) = default;
};

// The log has stored the bytes at `offset`.
struct Appended {
  Offset offset;

  friend bool operator==(const Appended&, const Appended&) = default;
};

// The bytes were certainly not stored: the log said so, or nothing was sent.
struct AppendRefused {
  friend bool operator==(const AppendRefused&, const AppendRefused&) = default;
};

// No answer came: the bytes may be stored now, later, or never.
struct AppendUnanswered {
  friend bool operator==(const AppendUnanswered&,
                         const AppendUnanswered&) = default;
};

using AppendResult = std::variant<Appended, AppendRefused, AppendUnanswered>;

// Records from the offset asked for on, in order without a gap; may be empty.
struct ReadRecords {
  std::vector<StoredRecord> records;
  Offset oldest;  // Oldest offset that the log still keeps.
  Offset next;    // Offset that the next append gets.

  friend bool operator==(const ReadRecords&, const ReadRecords&) = default;
};

// The offset asked for is older than what the log keeps.
struct ReadTooOld {
  Offset oldest;
  Offset next;

  friend bool operator==(const ReadTooOld&, const ReadTooOld&) = default;
};

// The log did not answer.
struct ReadFailed {
  friend bool operator==(const ReadFailed&, const ReadFailed&) = default;
};

using ReadResult = std::variant<ReadRecords, ReadTooOld, ReadFailed>;

// The platform's append-only log. Offsets of a stream start at 1 and have no
// gaps. Calls return at once; each callback runs exactly once, on a thread of
// the implementation.
class LogPort {
 public:
  virtual ~LogPort() = default;

  virtual void Append(const StreamId& stream,
                      std::string bytes,
                      std::function<void(AppendResult)> done) = 0;

  // Asks for at most `limit` records from `from` on. With none there, the log
  // may hold the answer back for up to `wait_milliseconds`.
  virtual void Read(const StreamId& stream,
                    Offset from,
                    uint32_t limit,
                    uint32_t wait_milliseconds,
                    std::function<void(ReadResult)> done) = 0;
};

}  // namespace papayadrift::log

#endif  // PAPAYADRIFT_LOG_LOG_PORT_H_
