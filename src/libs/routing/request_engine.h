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

// Decides what happens to the requests of an entry. Takes an event and the
// time, returns what is to be done; does no I/O. For one thread at a time:
// `Router` lets many threads share it.
class RequestEngine {
 public:
  explicit RequestEngine(RoutingSettings settings);
  ~RequestEngine();
  RequestEngine(const RequestEngine&) = delete;
  RequestEngine& operator=(const RequestEngine&) = delete;

  std::vector<Action> Handle(Event event, EventTime now);

  // Ends the right to take slots at `until`, which replaces any earlier end;
  // at first there is none. Safe in any thread. Returns the earlier one.
  Instant SetUsableUntil(Instant until);

  // Returns how many requests wait in queues.
  size_t waiting_count() const;

  // Returns how many requests are known, those over with open sends included.
  size_t flow_count() const;

  // Answers and failures that belong to no open send: repeats, or never sent.
  uint64_t unmatched_result_count() const;

  // Whether nothing is in flight and no slot is held.
  bool is_idle() const;

  // Returns the state of a service, or null; for dumps and tests.
  const ServiceState* FindService(const ServiceId& service) const;

 private:
  const std::unique_ptr<EventHandler> handler_;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_REQUEST_ENGINE_H_
