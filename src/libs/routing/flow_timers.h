#ifndef PAPAYADRIFT_ROUTING_FLOW_TIMERS_H_
#define PAPAYADRIFT_ROUTING_FLOW_TIMERS_H_

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "base/instant.h"
#include "routing/events.h"

namespace papayadrift::routing {

// A timer for each request.
class FlowTimers {
 public:
  // Sets the timer of the request; replaces its previous one.
  void Set(RequestId request, Instant at);
  void Remove(RequestId request);

  // Removes and returns the request with the earliest expired timer.
  std::optional<RequestId> TakeDue(Instant now);
  std::optional<Instant> earliest() const;

 private:
  std::unordered_map<RequestId, Instant> instants_;
  std::set<std::pair<Instant, RequestId>> order_;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_FLOW_TIMERS_H_
