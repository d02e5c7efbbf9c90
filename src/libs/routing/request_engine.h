#ifndef PAPAYADRIFT_ROUTING_REQUEST_ENGINE_H_
#define PAPAYADRIFT_ROUTING_REQUEST_ENGINE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "routing/actions.h"
#include "routing/events.h"
#include "routing/routing_settings.h"

namespace papayadrift::routing {

class EventHandler;
class ServiceState;

// Makes the routing decisions for the requests of an entry. Takes an event with
// its time and returns the resulting actions; does no I/O. Must be used by one
// thread at a time; `Router` makes it available to many.
class RequestEngine {
 public:
  explicit RequestEngine(RoutingSettings settings);
  ~RequestEngine();
  RequestEngine(const RequestEngine&) = delete;
  RequestEngine& operator=(const RequestEngine&) = delete;

  std::vector<Action> Handle(Event event, EventTime now);

  // No slots are acquired from `until` on. Replaces the previous limit;
  // initially there is none. Thread-safe. Returns the previous limit.
  Instant SetUsableUntil(Instant until);

  // Returns the number of queued requests.
  size_t waiting_count() const;

  // Returns the number of active requests, including finished ones with open
  // sends.
  size_t flow_count() const;

  // Returns the number of responses and failures that matched no open send:
  // duplicates, or for sends that never took place.
  uint64_t unmatched_result_count() const;

  // Returns whether nothing is in flight and no slot release is pending.
  bool is_idle() const;

  // Returns the state of a service, or null. For dumps and tests.
  const ServiceState* FindService(const ServiceId& service) const;

 private:
  const std::unique_ptr<EventHandler> handler_;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_REQUEST_ENGINE_H_
