#ifndef PAPAYADRIFT_ROUTING_FLOW_TIMERS_H_
#define PAPAYADRIFT_ROUTING_FLOW_TIMERS_H_

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "base/instant.h"
#include "routing/events.h"

namespace papayadrift::routing {

// One timer for each request.
class FlowTimers {
 public:
  // Sets the request's timer in place of the one it had.
  void Set(RequestId request, Instant at);
  void Remove(RequestId request);

  // Takes the earliest request whose timer is due.
  std::optional<RequestId> TakeDue(Instant now);
  std::optional<Instant> earliest() const;

 private:
  std::unordered_map<RequestId, Instant> instants_;
  std::set<std::pair<Instant, RequestId>> order_;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_FLOW_TIMERS_H_
