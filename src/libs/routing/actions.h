#ifndef PAPAYADRIFT_ROUTING_ACTIONS_H_
#define PAPAYADRIFT_ROUTING_ACTIONS_H_

// Actions that the request engine returns for its owner to carry out.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "base/identifiers.h"
#include "base/instant.h"
#include "base/refusal.h"
#include "http/message.h"
#include "routing/events.h"
#include "routing/service_load.h"

namespace papayadrift::routing {

// Sends the request to the runner. The owner must report the result to the
// engine exactly once. `identity` is sent along and must be echoed in the
// response.
struct Send {
  SendId send;
  std::string identity;
  std::string address;  // "ip:port".
  WorkerId worker;
  Instant deadline;    // Deadline of the request, passed on to the runner.
  Instant give_up_at;  // The owner waits for a late response until then.
  std::shared_ptr<RequestContext> context;
  ServiceLoad load;  // Load of the service when the runner was selected.

  friend bool operator==(const Send&, const Send&) = default;
};

// Claims the idempotency key in the log; the owner reports the result as
// KeyClaimFinished.
struct ClaimKey {
  RequestInfo info;

  friend bool operator==(const ClaimKey&, const ClaimKey&) = default;
};

// Records in the log the outcome of the request with the key.
struct ResolveKey {
  CustomerId customer;
  ServiceId service;
  IdempotencyKey key;
  Ran ran = Ran::kUnknown;
  int status = 0;  // 0 if there was no response or it is too large to store.
  std::string answer;

  friend bool operator==(const ResolveKey&, const ResolveKey&) = default;
};

// Final action: returns the response to the caller.
struct Answer {
  RequestInfo info;
  http::Response response;

  friend bool operator==(const Answer&, const Answer&) = default;
};

// Final action: refuses the request.
struct Refuse {
  RequestInfo info;
  Refusal refusal;
  // Load at the time of the refusal; not set for an unknown service.
  std::optional<ServiceLoad> load;

  friend bool operator==(const Refuse&, const Refuse&) = default;
};

// Final action: discards the request, as its caller has disconnected.
struct Drop {
  RequestInfo info;
  Ran ran = Ran::kNo;

  friend bool operator==(const Drop&, const Drop&) = default;
};

// Requests TimerFired at `at`; replaces any later timer requested before.
struct StartTimer {
  Instant at;

  friend bool operator==(const StartTimer&, const StartTimer&) = default;
};

enum class SendOutcome {
  kAnswered,  // The response was returned to the caller.
  // Complete response after the request had finished: discarded.
  kAnsweredLate,
  kMismatched,  // The echoed identity belongs to another send: discarded.
  kNotConnected,
  kLost,
  kTimedOut,
  kTruncated,
  kTooLarge,
  kServerFailed,  // Complete response with a server error status.
};

std::string_view ToText(SendOutcome outcome);

// Reports the outcome of a Send; emitted exactly once for each.
struct SendEnded {
  SendId send;
  CustomerId customer;
  ServiceId service;
  WorkerId worker;
  SendOutcome outcome = SendOutcome::kAnswered;

  friend bool operator==(const SendEnded&, const SendEnded&) = default;
};

// Requests of the service lack slots: one has exceeded the slot request delay,
// or was refused because of the predicted wait. Repeated while the shortage
// lasts.
struct SlotsWanted {
  ServiceId service;
  size_t requests = 0;  // Number of requests that lack slots.

  friend bool operator==(const SlotsWanted&, const SlotsWanted&) = default;
};

// Emitted once after StopRequested, when nothing is in flight any more.
struct Stopped {
  friend bool operator==(const Stopped&, const Stopped&) = default;
};

using Action = std::variant<Send,
                            ClaimKey,
                            ResolveKey,
                            Answer,
                            Refuse,
                            Drop,
                            StartTimer,
                            SendEnded,
                            SlotsWanted,
                            Stopped>;

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_ACTIONS_H_
