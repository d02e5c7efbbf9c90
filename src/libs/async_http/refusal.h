#ifndef PAPAYADRIFT_ASYNC_HTTP_REFUSAL_H_
#define PAPAYADRIFT_ASYNC_HTTP_REFUSAL_H_

#include <functional>
#include <span>
#include <string_view>

namespace papayadrift::async_http {

// Why a connection was refused, or closed before its peer ended it. Each of
// them happens before the handler has seen a request, except kUnread.
enum class Refusal {
  kMalformed,       // Answered with 400.
  kHeaderTooLarge,  // Answered with 431.
  kBodyTooLarge,    // Answered with 413.
  // Sizes and extensions of chunks, or trailers; answered with 431.
  kFramingTooLarge,
  kHeaderTooSlow,  // Answered with 408.
  kBodyTooSlow,    // Answered with 408.
  kPlaceNeeded,    // Closed for want of places.
  kMemoryNeeded,   // Closed for want of memory.
  kUnread,         // The response wasn't read in time.
};

std::span<const Refusal> AllRefusals();
// Returns the name in metrics and logs.
std::string_view ToText(Refusal refusal);

// Hears of each refusal, on the thread of the server.
using RefusalListener = std::function<void(Refusal)>;

}  // namespace papayadrift::async_http

#endif  // PAPAYADRIFT_ASYNC_HTTP_REFUSAL_H_
