#include "streams/message_framing.h"

namespace papayadrift::streams {

namespace {

constexpr int kBitsPerByte = 8;

size_t LengthAt(std::string_view bytes) {
  size_t length = 0;
  for (size_t i = 0; i < kLengthBytes; ++i) {
    length = (length << kBitsPerByte) | static_cast<uint8_t>(bytes[i]);
  }
  return length;
}

}  // namespace

std::string Frame(std::string_view message) {
  std::string framed(kLengthBytes, '\0');
  size_t length = message.size();
  for (size_t i = kLengthBytes; i > 0; --i) {
    framed[i - 1] = static_cast<char>(length & 0xff);
    length >>= kBitsPerByte;
  }
  framed += message;
  return framed;
}

MessageSplitter::MessageSplitter(size_t maximum_message_bytes)
    : maximum_message_bytes_(maximum_message_bytes) {}

std::optional<std::vector<std::string>> MessageSplitter::Add(
    std::string_view bytes) {
  pending_ += bytes;
  std::vector<std::string> messages;
  size_t begin = 0;
  while (pending_.size() - begin >= kLengthBytes) {
    const size_t length = LengthAt(std::string_view(pending_).substr(begin));
    if (length > maximum_message_bytes_) {
      return std::nullopt;
    }
    if (pending_.size() - begin < kLengthBytes + length) {
      break;
    }
    messages.push_back(pending_.substr(begin + kLengthBytes, length));
    begin += kLengthBytes + length;
  }
  pending_.erase(0, begin);
  return messages;
}

}  // namespace papayadrift::streams
