#ifndef PAPAYADRIFT_TESTS_RUN_HISTORIES_TRACE_LOG_H_
#define PAPAYADRIFT_TESTS_RUN_HISTORIES_TRACE_LOG_H_

#include <functional>
#include <initializer_list>
#include <string>

#include "logging/event_log.h"

namespace papayadrift::run_histories {

// Passes the log lines of one process to a trace, if there is one.
class TraceLog : public logging::EventLog {
 public:
  using Trace = std::function<void(const std::string& line)>;

  TraceLog(std::string process, Trace trace);

  void Log(logging::Event event,
           std::initializer_list<logging::Field> fields) override;

 private:
  const std::string process_;
  const Trace trace_;
};

}  // namespace papayadrift::run_histories

#endif  // PAPAYADRIFT_TESTS_RUN_HISTORIES_TRACE_LOG_H_
