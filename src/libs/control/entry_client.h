#ifndef PAPAYADRIFT_CONTROL_ENTRY_CLIENT_H_
#define PAPAYADRIFT_CONTROL_ENTRY_CLIENT_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "http/message.h"

namespace papayadrift::control {

// Sends a request to "ip:port" and waits for the result.
using Fetch = std::function<http::ClientResult(const std::string& address,
                                               const http::Request& request)>;

enum class EntryClientFailure { kUnreachable, kAnswerLost };

// Speaks to the first entry that answers.
class EntryClient {
 public:
  EntryClient(Fetch fetch,
              std::vector<std::string> addresses,
              std::string token);

  // Returns the response of the first entry to be reached. Only requests that
  // certainly did not arrive are sent to a further entry, unless `is_query`.
  std::optional<http::Response> Send(const http::Request& request,
                                     bool is_query);

  // Asks one entry only.
  std::optional<http::Response> SendTo(const std::string& address,
                                       http::Request request);

  const std::vector<std::string>& addresses() const { return addresses_; }
  std::optional<EntryClientFailure> last_reason() const;

 private:
  Fetch fetch_;
  std::vector<std::string> addresses_;
  std::string token_;
  std::optional<EntryClientFailure> last_reason_;
};

// Returns a GET request for `path`.
http::Request Query(std::string path);

}  // namespace papayadrift::control

#endif  // PAPAYADRIFT_CONTROL_ENTRY_CLIENT_H_
