#include "log/wire.h"

#include <tuple>

#include "records/packing.h"

namespace papayadrift::log {

// Found by argument-dependent lookup, so not in an unnamed namespace.
static auto Fields(StoredRecord& record) {
  return std::tie(record.offset, record.bytes);
}
static auto Fields(ReadRecords& read) {
  return std::tie(read.oldest, read.next, read.records);
}

std::string EncodeRead(const ReadRecords& read) {
  return records::PackToBytes(read);
}

std::optional<ReadRecords> DecodeRead(std::string_view bytes) {
  return records::UnpackFromBytes<ReadRecords>(bytes);
}

}  // namespace papayadrift::log
