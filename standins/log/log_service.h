#ifndef PAPAYADRIFT_STANDINS_LOG_LOG_SERVICE_H_
#define PAPAYADRIFT_STANDINS_LOG_LOG_SERVICE_H_

#include <cstdint>
#include <list>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock.h"
#include "http/server.h"
#include "standins/log/log_store.h"

namespace papayadrift::standins {

// What goes wrong with the log, as set by PUT /standin/faults.
struct LogFaults {
  bool is_down = false;       // Every call is refused with 503.
  bool is_hanging = false;    // No call is answered.
  milliseconds delay{0};      // Before each answer.
  int64_t lost_answers = 0;   // Of the next appends, after they took effect.
  int64_t lost_requests = 0;  // Of the next appends, before that.
  std::vector<std::string> down_streams;  // Their calls are refused with 503.

  friend bool operator==(const LogFaults&, const LogFaults&) = default;
};

// The platform's log over HTTP. Calls come from any thread; OnTime() must be
// called every few milliseconds, as it ends waits and delays.
class LogService {
 public:
  LogService(size_t retained_records, const Clock& clock);

  void Handle(const http::Request& request, http::Respond respond);
  void OnTime();

 private:
  // An answer that is held back.
  struct Delayed {
    Instant due_at;
    http::Respond respond;
    http::Response response;
  };
  // A read that waits for a record.
  struct Waiting {
    Instant due_at;
    log::StreamId stream;
    Offset from;
    uint32_t limit = 0;
    http::Respond respond;
  };

  void HandleLocked(const http::Request& request, http::Respond respond);
  void Append(const log::StreamId& stream,
              const http::Request& request,
              http::Respond respond);
  void Read(const log::StreamId& stream,
            const http::Request& request,
            http::Respond respond);
  void Answer(http::Respond respond, http::Response response);
  void AnswerWaiting(Instant now);
  http::Response SetFaults(const std::string& body);
  http::Response Counters() const;

  const Clock& clock_;
  std::mutex mutex_;
  LogStore store_;
  LogFaults faults_;
  std::list<Delayed> delayed_;
  std::list<Waiting> waiting_;
  // Kept so that their callers see neither an answer nor an end.
  std::list<http::Respond> never_answered_;
};

}  // namespace papayadrift::standins

#endif  // PAPAYADRIFT_STANDINS_LOG_LOG_SERVICE_H_
