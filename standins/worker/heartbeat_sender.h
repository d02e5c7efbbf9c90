#ifndef PAPAYADRIFT_STANDINS_WORKER_HEARTBEAT_SENDER_H_
#define PAPAYADRIFT_STANDINS_WORKER_HEARTBEAT_SENDER_H_

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "http/client.h"
#include "worker_protocol/messages.h"

namespace papayadrift::standins {

// Sends heartbeats to the home entry, or to another one while the home does
// not answer; one that stays keeps to the addresses it was given.
class HeartbeatSender {
 public:
  HeartbeatSender(std::vector<std::string> addresses,
                  std::string token,
                  milliseconds timeout,
                  bool stays,
                  http::Client& client,
                  const Clock& clock);

  // Blocks until there is an answer, or until the timeout.
  std::optional<worker_protocol::HeartbeatAnswer> Send(
      const worker_protocol::Heartbeat& heartbeat);

 private:
  void Learn(const worker_protocol::HeartbeatAnswer& answer);
  void GoToNext();

  const std::vector<std::string> start_addresses_;
  const std::string token_;
  const milliseconds timeout_;
  const bool stays_;
  http::Client& client_;
  const Clock& clock_;
  std::vector<std::string> addresses_;
  size_t position_ = 0;
};

}  // namespace papayadrift::standins

#endif  // PAPAYADRIFT_STANDINS_WORKER_HEARTBEAT_SENDER_H_
