#ifndef PAPAYADRIFT_STANDINS_LOG_LOG_STORE_H_
#define PAPAYADRIFT_STANDINS_LOG_LOG_STORE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "log/log_port.h"

namespace papayadrift::standins {

// The records of all streams, in memory; each stream keeps the newest
// `retained_records` only. Not safe to share between threads.
class LogStore {
 public:
  explicit LogStore(size_t retained_records);

  Offset Append(const log::StreamId& stream, std::string bytes);
  // Returns ReadRecords or ReadTooOld.
  log::ReadResult Read(const log::StreamId& stream,
                       Offset from,
                       uint32_t limit) const;

  uint64_t append_count() const { return append_count_; }
  uint64_t byte_count() const { return byte_count_; }

 private:
  struct Stream {
    uint64_t oldest = 1;
    std::deque<std::string> records;
  };

  const size_t retained_records_;
  std::map<log::StreamId, Stream> streams_;
  uint64_t append_count_ = 0;
  uint64_t byte_count_ = 0;
};

}  // namespace papayadrift::standins

#endif  // PAPAYADRIFT_STANDINS_LOG_LOG_STORE_H_
