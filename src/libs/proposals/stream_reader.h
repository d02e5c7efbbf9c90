#ifndef PAPAYADRIFT_PROPOSALS_STREAM_READER_H_
#define PAPAYADRIFT_PROPOSALS_STREAM_READER_H_

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "base/identifiers.h"
#include "base/instant.h"
#include "log/log_port.h"
#include "proposals/back_off.h"

namespace papayadrift::proposals {

// Requests a read from the log; its result must be passed to OnResult().
struct StartRead {
  Offset from;
  uint32_t limit = 0;
  uint32_t wait_milliseconds = 0;

  friend bool operator==(const StartRead&, const StartRead&) = default;
};

// The records that follow those read before, in order, without a gap.
struct NextRecords {
  std::vector<log::StoredRecord> records;
  Offset tail;  // Offset of the next append, when the log answered.

  friend bool operator==(const NextRecords&, const NextRecords&) = default;
};

// The log no longer keeps the next record. A snapshot or the state of a peer
// must be restored, followed by Restart().
struct ReadBehindRetention {
  Offset oldest;
  Offset tail;

  friend bool operator==(const ReadBehindRetention&,
                         const ReadBehindRetention&) = default;
};

enum class ReadFault : uint8_t {
  kNoAnswer,
  kGap,              // The log skipped records; its whole answer is discarded.
  kOffsetDecreased,  // The log's end lies before records that were already
                     // read.
};

using ReadEvent = std::variant<NextRecords, ReadBehindRetention, ReadFault>;

struct ReaderLimits {
  uint32_t maximum_records = 256;
  uint32_t wait_milliseconds = 100;
};

// Reads a stream of the log continuously, with one read in flight. Not
// thread-safe.
class StreamReader {
 public:
  // `seed` is for the jitter of retries.
  StreamReader(Offset from, const ReaderLimits& limits, uint64_t seed);

  Offset next_offset() const { return next_offset_; }
  bool is_log_available() const { return back_off_.is_available(); }
  std::optional<Instant> unavailable_since() const {
    return back_off_.unavailable_since();
  }
  // When the last read started that reached the stream's end. Once its records
  // are applied, the state includes everything that was stored by then.
  std::optional<Instant> tail_read_began_at() const {
    return tail_read_began_at_;
  }
  // When Start() has work to do next; nothing while a read is in flight or the
  // reader is behind the retention of the log.
  std::optional<Instant> wake_at() const;

  // Starts the next read, unless one is in flight or the retry delay after a
  // failure has not passed.
  std::optional<StartRead> Start(Instant now);
  // Handles the result of the read in flight.
  ReadEvent OnResult(Instant now, log::ReadResult result);
  // Continues at `from`, after a snapshot was restored. The result of a read in
  // flight is discarded.
  void Restart(Offset from);

 private:
  ReadEvent OnRecords(Instant now, log::ReadRecords read);
  std::optional<ReadFault> Check(const log::ReadRecords& read) const;

  const ReaderLimits limits_;
  BackOff back_off_;
  Offset next_offset_;
  bool is_behind_retention_ = false;
  // The read in flight began before a restart.
  bool is_read_stale_ = false;
  std::optional<Instant> read_began_at_;
  std::optional<Instant> tail_read_began_at_;
};

}  // namespace papayadrift::proposals

#endif  // PAPAYADRIFT_PROPOSALS_STREAM_READER_H_
