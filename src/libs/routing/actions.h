#ifndef PAPAYADRIFT_ROUTING_ACTIONS_H_
#define PAPAYADRIFT_ROUTING_ACTIONS_H_

// What the request engine wants done.

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

// Send the request to the runner and tell the engine how that ended, exactly
// once. `identity` goes with it and must come back with the answer.
struct Send {
  SendId send;
  std::string identity;
  std::string address;  // "ip:port".
  WorkerId worker;
  Instant deadline;    // The request's, for the runner to keep.
  Instant give_up_at;  // A late answer is awaited until then.
  std::shared_ptr<RequestContext> context;
  ServiceLoad load;  // When the runner was chosen.

  friend bool operator==(const Send&, const Send&) = default;
};

// Claim the key in the log and report the verdict as KeyClaimFinished.
struct ClaimKey {
  RequestInfo info;

  friend bool operator==(const ClaimKey&, const ClaimKey&) = default;
};

// Record in the log how the request with the key ended.
struct ResolveKey {
  CustomerId customer;
  ServiceId service;
  IdempotencyKey key;
  Ran ran = Ran::kUnknown;
  int status = 0;  // 0 when there was no answer, or it is too large to keep.
  std::string answer;

  friend bool operator==(const ResolveKey&, const ResolveKey&) = default;
};

// Final: give this answer to the caller.
struct Answer {
  RequestInfo info;
  http::Response response;

  friend bool operator==(const Answer&, const Answer&) = default;
};

// Final: refuse the request.
struct Refuse {
  RequestInfo info;
  Refusal refusal;
  // When it was refused; nothing for a service that isn't known.
  std::optional<ServiceLoad> load;

  friend bool operator==(const Refuse&, const Refuse&) = default;
};

// Final: forget the request, nobody waits for it.
struct Drop {
  RequestInfo info;
  Ran ran = Ran::kNo;

  friend bool operator==(const Drop&, const Drop&) = default;
};

// Send TimerFired at this instant; replaces any later timer asked for before.
struct StartTimer {
  Instant at;

  friend bool operator==(const StartTimer&, const StartTimer&) = default;
};

enum class SendOutcome {
  kAnswered,      // Its answer was given to the caller.
  kAnsweredLate,  // A whole answer, but the request was over: dropped.
  kMismatched,    // The answer belongs to something else: dropped.
  kNotConnected,
  kLost,
  kTimedOut,
  kTruncated,
  kTooLarge,
  kServerFailed,  // A whole answer that reports a server's failure.
};

std::string_view ToText(SendOutcome outcome);

// Exactly one for each Send.
struct SendEnded {
  SendId send;
  CustomerId customer;
  ServiceId service;
  WorkerId worker;
  SendOutcome outcome = SendOutcome::kAnswered;

  friend bool operator==(const SendEnded&, const SendEnded&) = default;
};

// Requests of the service lack slots: one has waited long, or was refused for
// the wait ahead. Repeated while that lasts.
struct SlotsWanted {
  ServiceId service;
  size_t requests = 0;  // How many.

  friend bool operator==(const SlotsWanted&, const SlotsWanted&) = default;
};

// After StopRequested: nothing is in flight any more. Sent once.
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
