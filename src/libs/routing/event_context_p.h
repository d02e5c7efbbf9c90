#ifndef PAPAYADRIFT_ROUTING_EVENT_CONTEXT_P_H_
#define PAPAYADRIFT_ROUTING_EVENT_CONTEXT_P_H_

#include <utility>
#include <vector>

#include "routing/actions.h"
#include "routing/events.h"

namespace papayadrift::routing {

// Time of the event being handled, and the actions that result from it.
class EventContext {
 public:
  void Begin(EventTime now) { now_ = now; }
  void Add(Action action) { actions_.push_back(std::move(action)); }
  std::vector<Action> TakeActions() { return std::exchange(actions_, {}); }

  Instant now() const { return now_.instant; }
  WallInstant wall_now() const { return now_.wall; }

 private:
  EventTime now_;
  std::vector<Action> actions_;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_EVENT_CONTEXT_P_H_
