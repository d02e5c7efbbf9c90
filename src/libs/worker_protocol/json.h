#ifndef PAPAYADRIFT_WORKER_PROTOCOL_JSON_H_
#define PAPAYADRIFT_WORKER_PROTOCOL_JSON_H_

#include <optional>
#include <string>
#include <string_view>

#include "worker_protocol/messages.h"

namespace papayadrift::worker_protocol {

std::string ToJson(const Heartbeat& heartbeat);
std::string ToJson(const HeartbeatAnswer& answer);

// Return nothing when `text` is not the whole JSON of such a message.
std::optional<Heartbeat> HeartbeatFromJson(std::string_view text);
std::optional<HeartbeatAnswer> HeartbeatAnswerFromJson(std::string_view text);

}  // namespace papayadrift::worker_protocol

#endif  // PAPAYADRIFT_WORKER_PROTOCOL_JSON_H_
