#include "async_http/refusal.h"

#include <array>

namespace papayadrift::async_http {

std::span<const Refusal> AllRefusals() {
  static constexpr std::array kRefusals = {
      Refusal::kMalformed,     Refusal::kHeaderTooLarge,
      Refusal::kBodyTooLarge,  Refusal::kFramingTooLarge,
      Refusal::kHeaderTooSlow, Refusal::kBodyTooSlow,
      Refusal::kPlaceNeeded,   Refusal::kMemoryNeeded,
      Refusal::kUnread};
  return kRefusals;
}

std::string_view ToText(Refusal refusal) {
  switch (refusal) {
    case Refusal::kMalformed:
      return "malformed";
    case Refusal::kHeaderTooLarge:
      return "header_too_large";
    case Refusal::kBodyTooLarge:
      return "body_too_large";
    case Refusal::kFramingTooLarge:
      return "framing_too_large";
    case Refusal::kHeaderTooSlow:
      return "header_too_slow";
    case Refusal::kBodyTooSlow:
      return "body_too_slow";
    case Refusal::kPlaceNeeded:
      return "connections";
    case Refusal::kMemoryNeeded:
      return "memory";
    case Refusal::kUnread:
      return "response_unread";
  }
  return "";
}

}  // namespace papayadrift::async_http
