#ifndef PAPAYADRIFT_ROUTING_EVENTS_H_
#define PAPAYADRIFT_ROUTING_EVENTS_H_

// Events that the owner of sockets, timers and the log reports to the request
// engine.

#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "base/identifiers.h"
#include "base/instant.h"
#include "base/refusal.h"
#include "http/message.h"
#include "routing/routing_state.h"

namespace papayadrift::routing {

// Identifies a request within one incarnation of an entry.
using RequestId = Number<struct RequestTag>;

// Identifies one send of a request to a runner; ordinals start at 1.
struct SendId {
  RequestId request;
  uint32_t ordinal = 0;

  friend auto operator<=>(const SendId&, const SendId&) = default;
};

// Time of an event on the monotonic and on the wall clock.
struct EventTime {
  Instant instant;
  WallInstant wall;

  friend bool operator==(const EventTime&, const EventTime&) = default;
};

// Data that the owner attaches to a request (its body, how to respond). Opaque
// to the engine, which only returns it with actions.
class RequestContext {
 public:
  virtual ~RequestContext() = default;
};

// The key was claimed for this request, which may be sent.
struct KeyAccepted {
  friend bool operator==(const KeyAccepted&, const KeyAccepted&) = default;
};

// The key was used by an earlier request, which ended as given here.
struct KeyDuplicate {
  Ran ran = Ran::kUnknown;
  int status = 0;      // 0 if there was no response.
  std::string answer;  // Empty if it was too large to store.

  friend bool operator==(const KeyDuplicate&, const KeyDuplicate&) = default;
};

// The key can't be used: it is in progress, outside its window, was used with
// another body or belongs to another region, or the log isn't writable.
struct KeyRejected {
  RefusalReason reason = RefusalReason::kLogUnavailable;
  // Set if the key belongs to another region.
  std::optional<HomeRegion> home = std::nullopt;

  friend bool operator==(const KeyRejected&, const KeyRejected&) = default;
};

using KeyClaimResult = std::variant<KeyAccepted, KeyDuplicate, KeyRejected>;

// Properties of a request that the engine needs.
struct RequestInfo {
  RequestId id;
  CustomerId customer;
  ServiceId service;
  Instant deadline;
  IdempotencyKey key;  // Required for services that are not idempotent.
  uint64_t body_digest = 0;
  // What the replayed log already contains for the key; a duplicate then gets
  // the outcome of the first request without a new claim. Never KeyAccepted.
  std::optional<KeyClaimResult> known_key;
  size_t body_bytes = 0;
  std::shared_ptr<RequestContext> context;

  friend bool operator==(const RequestInfo&, const RequestInfo&) = default;
};

struct RequestArrived {
  RequestInfo info;

  friend bool operator==(const RequestArrived&,
                         const RequestArrived&) = default;
};

struct KeyClaimFinished {
  RequestId request;
  KeyClaimResult result;

  friend bool operator==(const KeyClaimFinished&,
                         const KeyClaimFinished&) = default;
};

// A complete response to a send arrived. `echo` is the identity echoed by the
// runner, empty if it did not echo one.
struct AnswerArrived {
  SendId send;
  std::string echo;
  http::Response response;

  friend bool operator==(const AnswerArrived&, const AnswerArrived&) = default;
};

// A send failed without a complete response, and will get none.
struct SendFailed {
  SendId send;
  http::ClientFailure failure = http::ClientFailure::kLost;

  friend bool operator==(const SendFailed&, const SendFailed&) = default;
};

// The timer requested by StartTimer has expired.
struct TimerFired {
  friend bool operator==(const TimerFired&, const TimerFired&) = default;
};

// The caller has disconnected; the response is no longer needed.
struct CallerDisconnected {
  RequestId request;

  friend bool operator==(const CallerDisconnected&,
                         const CallerDisconnected&) = default;
};

struct TableChanged {
  std::shared_ptr<const RoutingState> state;

  friend bool operator==(const TableChanged&, const TableChanged&) = default;
};

// The slot limits of runners have changed without a new table; of all services
// if `service` is not set.
struct SlotsChanged {
  std::optional<ServiceId> service;

  friend bool operator==(const SlotsChanged&, const SlotsChanged&) = default;
};

// From now on new requests are refused; admitted ones are completed.
struct StopRequested {
  friend bool operator==(const StopRequested&, const StopRequested&) = default;
};

using Event = std::variant<RequestArrived,
                           KeyClaimFinished,
                           AnswerArrived,
                           SendFailed,
                           TimerFired,
                           CallerDisconnected,
                           TableChanged,
                           SlotsChanged,
                           StopRequested>;

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_EVENTS_H_
