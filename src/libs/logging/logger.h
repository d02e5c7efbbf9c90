#ifndef PAPAYADRIFT_LOGGING_LOGGER_H_
#define PAPAYADRIFT_LOGGING_LOGGER_H_

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>

#include "base/clock.h"
#include "logging/event.h"
#include "logging/event_budget.h"
#include "logging/event_log.h"
#include "logging/line_writer.h"

namespace papayadrift::logging {

struct LoggerSettings {
  EventBudgetSettings budget;  // Of each event up to the level info.
  // Of each warning and error: about 0.5 MB/s of lines at most.
  EventBudgetSettings failure_budget{1000, 5000};
  LineWriterSettings lines;

  friend bool operator==(const LoggerSettings&,
                         const LoggerSettings&) = default;
};

// Writes events as JSON lines, each with "time" (UTC, milliseconds), "level",
// "event", "process" and its fields. Safe to share between threads; never waits
// for whoever reads the lines. Tokens and bodies of requests do not belong into
// fields.
//
// An event that comes too often has lines left out; its next line then has
// their number as "left_out". Where lines were dropped because the reader fell
// behind, a line of the event "lines.dropped" has their number.
class Logger : public EventLog {
 public:
  // Writes to `descriptor`, which must outlive the logger; events below
  // `minimum` are left out.
  Logger(std::string process,
         Level minimum,
         const Clock& clock,
         int descriptor,
         const LoggerSettings& settings = {});
  // Finishes.
  ~Logger() override;
  Logger(const Logger&) = delete;
  Logger& operator=(const Logger&) = delete;

  using EventLog::Log;
  void Log(Event event, std::initializer_list<Field> fields) override;

  // Takes no more events and waits until the lines are written, for a second at
  // most. To be called before a process ends without destroying the logger.
  void Finish();

  // Lines that were left out or dropped in all.
  uint64_t missing_count() const;

 private:
  class Private;
  std::unique_ptr<Private> private_;
};

}  // namespace papayadrift::logging

#endif  // PAPAYADRIFT_LOGGING_LOGGER_H_
