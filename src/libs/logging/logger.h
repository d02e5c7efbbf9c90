#ifndef PAPAYADRIFT_LOGGING_LOGGER_H_
#define PAPAYADRIFT_LOGGING_LOGGER_H_

#include <cstdint>
#include <initializer_list>
#include <iosfwd>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "base/clock.h"
#include "logging/event.h"

namespace papayadrift::logging {

// A typed value of an event, under a name in lower case.
struct Field {
  std::string_view name;
  std::variant<bool, int64_t, double, std::string> value;

  friend bool operator==(const Field&, const Field&) = default;
};

// Writes events as JSON lines, each with "time" (UTC, milliseconds), "level",
// "event", "process" and its fields. Safe to share between threads. Tokens and
// bodies of requests do not belong into fields.
class Logger {
 public:
  // Writes to `stream`, which must outlive the logger; events below `minimum`
  // are left out.
  Logger(std::string process,
         Level minimum,
         const Clock& clock,
         std::ostream& stream);
  ~Logger();
  Logger(const Logger&) = delete;
  Logger& operator=(const Logger&) = delete;

  void Log(Event event, std::initializer_list<Field> fields = {});

 private:
  class Private;
  std::unique_ptr<Private> private_;
};

}  // namespace papayadrift::logging

#endif  // PAPAYADRIFT_LOGGING_LOGGER_H_
