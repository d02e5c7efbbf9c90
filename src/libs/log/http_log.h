#ifndef PAPAYADRIFT_LOG_HTTP_LOG_H_
#define PAPAYADRIFT_LOG_HTTP_LOG_H_

#include <string>

#include "base/clock.h"
#include "base/instant.h"
#include "http/client.h"
#include "log/log_port.h"

namespace papayadrift::log {

struct HttpLogSettings {
  std::string address;      // "ip:port" of the platform's log.
  milliseconds timeout{0};  // When an append or read counts as unanswered.

  friend bool operator==(const HttpLogSettings&,
                         const HttpLogSettings&) = default;
};

// Speaks HTTP to the platform's log; see docs/ARCHITECTURE.md.
class HttpLog : public LogPort {
 public:
  HttpLog(HttpLogSettings settings, http::Client& client, const Clock& clock);

  void Append(const StreamId& stream,
              std::string bytes,
              std::function<void(AppendResult)> done) override;
  void Read(const StreamId& stream,
            Offset from,
            uint32_t limit,
            uint32_t wait_milliseconds,
            std::function<void(ReadResult)> done) override;

 private:
  const HttpLogSettings settings_;
  http::Client& client_;
  const Clock& clock_;
};

}  // namespace papayadrift::log

#endif  // PAPAYADRIFT_LOG_HTTP_LOG_H_
