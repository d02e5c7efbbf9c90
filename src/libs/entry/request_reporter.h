#ifndef PAPAYADRIFT_ENTRY_REQUEST_REPORTER_H_
#define PAPAYADRIFT_ENTRY_REQUEST_REPORTER_H_

#include <string>

#include "base/instant.h"
#include "base/refusal.h"
#include "logging/logger.h"
#include "routing/actions.h"

namespace papayadrift::entry {

// Writes what is decided about callers' requests into the process's log, each
// line with the request's identity. May be called from any thread.
class RequestReporter {
 public:
  // `identity_prefix` is that of the routing settings.
  RequestReporter(logging::Logger& logger, std::string identity_prefix);

  // Returns the identity that callers, runners and the log know a request by.
  std::string IdentityOf(routing::RequestId request) const;

  // A runner was chosen. `now` is when.
  void OnSent(const routing::Send& send, Instant now) const;
  // A send ended; one whose answer was passed on is no news.
  void OnSendEnded(const routing::SendEnded& ended) const;
  void OnAnswered(const routing::Answer& answer, microseconds took) const;
  void OnRefused(const routing::Refuse& refuse, Instant now) const;
  // Refused before anything was known of its service's load.
  void OnRefusedAtOnce(routing::RequestId request,
                       const CustomerId& customer,
                       const ServiceId& service,
                       const Refusal& refusal) const;
  // The response could not be written: the caller had gone.
  void OnUnwritten(routing::RequestId request, microseconds took) const;

 private:
  logging::Logger& logger_;
  const std::string identity_prefix_;
};

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_REQUEST_REPORTER_H_
