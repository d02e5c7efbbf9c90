#ifndef PAPAYADRIFT_PEER_PROTOCOL_CODEC_H_
#define PAPAYADRIFT_PEER_PROTOCOL_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "peer_protocol/messages.h"

namespace papayadrift::peer_protocol {

// Larger messages are refused.
inline constexpr size_t kMaximumMessageBytes = 1024 * 1024;

// Returns the MessagePack form of `message`.
std::string Encode(const Message& message);

// Returns the message in `bytes`, or nothing when they are too many, torn or
// of another shape.
std::optional<Message> Decode(std::string_view bytes);

}  // namespace papayadrift::peer_protocol

#endif  // PAPAYADRIFT_PEER_PROTOCOL_CODEC_H_
