#ifndef PAPAYADRIFT_CONTROL_TIME_TEXT_H_
#define PAPAYADRIFT_CONTROL_TIME_TEXT_H_

#include <optional>
#include <string>

#include "base/instant.h"

namespace papayadrift::control {

// Returns for example "2026-12-04T09:30:00.250Z".
std::string TimeText(WallInstant time);

// Reads a time in UTC as "2026-12-04T09:30:00Z" or in Unix milliseconds;
// nothing if it is neither.
std::optional<WallInstant> TimeFromText(const std::string& text);

}  // namespace papayadrift::control

#endif  // PAPAYADRIFT_CONTROL_TIME_TEXT_H_
