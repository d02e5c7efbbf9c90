#ifndef PAPAYADRIFT_STREAMS_MESSAGE_FRAMING_H_
#define PAPAYADRIFT_STREAMS_MESSAGE_FRAMING_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace papayadrift::streams {

inline constexpr size_t kLengthBytes = 4;

// Returns the message behind its length, most significant byte first.
std::string Frame(std::string_view message);

// Takes a stream of bytes apart into messages.
class MessageSplitter {
 public:
  explicit MessageSplitter(size_t maximum_message_bytes);

  // Returns the messages that are whole now; nothing when a length is over
  // the limit, after which the stream is of no use any more.
  std::optional<std::vector<std::string>> Add(std::string_view bytes);

 private:
  const size_t maximum_message_bytes_;
  std::string pending_;
};

}  // namespace papayadrift::streams

#endif  // PAPAYADRIFT_STREAMS_MESSAGE_FRAMING_H_
