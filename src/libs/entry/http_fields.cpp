#include <charconv>

#include "base/lookup.h"
#include "entry/http_fields_p.h"

namespace papayadrift::entry {

std::string HeaderOf(const http::Headers& headers, const std::string& name) {
  return ValueOr(headers, name, std::string());
}

std::optional<int64_t> NumberIn(const std::string& text) {
  int64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, number);
  if (ec != std::errc() || rest != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace papayadrift::entry
