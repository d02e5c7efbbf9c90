#include "peer_protocol/codec.h"

#include "peer_protocol/message_fields_p.h"
#include "records/packing.h"

namespace papayadrift::peer_protocol {

std::string Encode(const Message& message) {
  return records::PackToBytes(message);
}

std::optional<Message> Decode(std::string_view bytes) {
  if (bytes.size() > kMaximumMessageBytes) {
    return std::nullopt;
  }
  return records::UnpackFromBytes<Message>(bytes);
}

}  // namespace papayadrift::peer_protocol
