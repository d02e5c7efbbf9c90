#ifndef PAPAYADRIFT_ENTRY_HTTP_FIELDS_P_H_
#define PAPAYADRIFT_ENTRY_HTTP_FIELDS_P_H_

#include <cstdint>
#include <optional>
#include <string>

#include "http/message.h"

namespace papayadrift::entry {

// Returns the value of a header, empty if there is none.
std::string HeaderOf(const http::Headers& headers, const std::string& name);

// Returns the whole number that is all of `text`, which may be negative.
std::optional<int64_t> NumberIn(const std::string& text);

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_HTTP_FIELDS_P_H_
