#ifndef PAPAYADRIFT_LOG_WIRE_H_
#define PAPAYADRIFT_LOG_WIRE_H_

#include <optional>
#include <string>
#include <string_view>

#include "log/log_port.h"

namespace papayadrift::log {

// The body of the answer to a read: MessagePack of oldest, next and records.
std::string EncodeRead(const ReadRecords& read);

// Returns nothing when `bytes` are not such a body.
std::optional<ReadRecords> DecodeRead(std::string_view bytes);

}  // namespace papayadrift::log

#endif  // PAPAYADRIFT_LOG_WIRE_H_
