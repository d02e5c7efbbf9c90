#ifndef PAPAYADRIFT_ASYNC_HTTP_REFUSAL_REPORTER_H_
#define PAPAYADRIFT_ASYNC_HTTP_REFUSAL_REPORTER_H_

#include <cstdint>
#include <map>
#include <string>

#include "async_http/refusal.h"
#include "base/clock.h"
#include "logging/event_log.h"
#include "metrics/registry.h"

namespace papayadrift::async_http {

// Counts the refusals of one listener by reason, and logs at most one line for
// each reason in kRefusalLogPeriod. For one thread.
class RefusalReporter {
 public:
  // `listener` is its name in metrics and logs. Without a logger it only
  // counts.
  RefusalReporter(std::string listener,
                  const Clock& clock,
                  logging::EventLog* logger,
                  metrics::Registry& registry);

  void Report(Refusal refusal);

 private:
  struct Reason {
    metrics::Counter* counter = nullptr;
    int64_t unlogged = 0;
    Instant next_line_at;
  };

  const std::string listener_;
  const Clock& clock_;
  logging::EventLog* const logger_;
  std::map<Refusal, Reason> reasons_;
};

// Clients decide how often they are refused: the log must not grow with it.
inline constexpr seconds kRefusalLogPeriod(10);

}  // namespace papayadrift::async_http

#endif  // PAPAYADRIFT_ASYNC_HTTP_REFUSAL_REPORTER_H_
