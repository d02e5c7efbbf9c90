#ifndef PAPAYADRIFT_LOGGING_EVENT_LOG_H_
#define PAPAYADRIFT_LOGGING_EVENT_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "logging/event.h"

namespace papayadrift::logging {

// A typed value of an event, under a name in lower case.
struct Field {
  std::string_view name;
  std::variant<bool, int64_t, double, std::string> value;

  friend bool operator==(const Field&, const Field&) = default;
};

// Takes the events of a process; never waits.
class EventLog {
 public:
  virtual ~EventLog() = default;

  virtual void Log(Event event, std::initializer_list<Field> fields) = 0;
  void Log(Event event) { Log(event, {}); }
};

}  // namespace papayadrift::logging

#endif  // PAPAYADRIFT_LOGGING_EVENT_LOG_H_
