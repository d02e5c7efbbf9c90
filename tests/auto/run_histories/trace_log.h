#ifndef PAPAYADRIFT_TESTS_RUN_HISTORIES_TRACE_LOG_H_
#define PAPAYADRIFT_TESTS_RUN_HISTORIES_TRACE_LOG_H_

#include <functional>
#include <initializer_list>
#include <string>

#include "coverage.h"
#include "logging/event_log.h"

namespace papayadrift::run_histories {

// Passes the log lines of one process to a trace and to the coverage of a
// history, if there are such.
class TraceLog : public logging::EventLog {
 public:
  using Trace = std::function<void(const std::string& line)>;

  // `coverage` may be null.
  TraceLog(std::string process, Trace trace, Coverage* coverage);

  void Log(logging::Event event,
           std::initializer_list<logging::Field> fields) override;

 private:
  const std::string process_;
  const Trace trace_;
  Coverage* const coverage_;
};

}  // namespace papayadrift::run_histories

#endif  // PAPAYADRIFT_TESTS_RUN_HISTORIES_TRACE_LOG_H_
