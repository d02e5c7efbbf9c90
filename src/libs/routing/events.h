#ifndef PAPAYADRIFT_ROUTING_EVENTS_H_
#define PAPAYADRIFT_ROUTING_EVENTS_H_

// What the owner of sockets, timers and the log tells the request engine.

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

// Identifies a request within one life of an entry.
using RequestId = Number<struct RequestTag>;

// One sending of a request to a runner; ordinals count from 1.
struct SendId {
  RequestId request;
  uint32_t ordinal = 0;

  friend auto operator<=>(const SendId&, const SendId&) = default;
};

// The same instant on both timelines.
struct EventTime {
  Instant instant;
  WallInstant wall;

  friend bool operator==(const EventTime&, const EventTime&) = default;
};

// What the owner keeps for a request (its body, how to respond). The engine
// only hands it back.
class RequestContext {
 public:
  virtual ~RequestContext() = default;
};

// The key is this request's own: it may be sent.
struct KeyAccepted {
  friend bool operator==(const KeyAccepted&, const KeyAccepted&) = default;
};

// The key was used before; this is how its request ended.
struct KeyDuplicate {
  Ran ran = Ran::kUnknown;
  int status = 0;      // 0 when there was no answer.
  std::string answer;  // Empty when it was too large to keep.

  friend bool operator==(const KeyDuplicate&, const KeyDuplicate&) = default;
};

// The key may not be used: in progress, outside its window, used with another
// body, of another region, or the log can't be written.
struct KeyRejected {
  RefusalReason reason = RefusalReason::kLogUnavailable;
  // Set when the key belongs to another region.
  std::optional<HomeRegion> home = std::nullopt;

  friend bool operator==(const KeyRejected&, const KeyRejected&) = default;
};

using KeyClaimResult = std::variant<KeyAccepted, KeyDuplicate, KeyRejected>;

// What the engine needs to know of a request.
struct RequestInfo {
  RequestId id;
  CustomerId customer;
  ServiceId service;
  Instant deadline;
  IdempotencyKey key;  // Must be set for services that are not idempotent.
  uint64_t body_digest = 0;
  // What the replayed log already says of the key; a repeat then gets the
  // first request's outcome with no new claim. KeyAccepted has no meaning here.
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

// A whole answer came for a send. `echo` is the request's identity as the
// runner repeats it, empty when it does not.
struct AnswerArrived {
  SendId send;
  std::string echo;
  http::Response response;

  friend bool operator==(const AnswerArrived&, const AnswerArrived&) = default;
};

// A send has no whole answer and never will.
struct SendFailed {
  SendId send;
  http::ClientFailure failure = http::ClientFailure::kLost;

  friend bool operator==(const SendFailed&, const SendFailed&) = default;
};

// The instant asked for by StartTimer has come.
struct TimerFired {
  friend bool operator==(const TimerFired&, const TimerFired&) = default;
};

// The caller's connection is gone; nobody waits for the answer.
struct CallerDisconnected {
  RequestId request;

  friend bool operator==(const CallerDisconnected&,
                         const CallerDisconnected&) = default;
};

struct TableChanged {
  std::shared_ptr<const RoutingState> state;

  friend bool operator==(const TableChanged&, const TableChanged&) = default;
};

// What may be used of runners has changed without a new table; of all services
// if none is named.
struct SlotsChanged {
  std::optional<ServiceId> service;

  friend bool operator==(const SlotsChanged&, const SlotsChanged&) = default;
};

// New requests are refused from now on; those admitted are finished.
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
