#ifndef PAPAYADRIFT_ROUTING_ROUTING_STATE_H_
#define PAPAYADRIFT_ROUTING_ROUTING_STATE_H_

#include <map>
#include <memory>
#include <string>

#include "routing/routing_table.h"
#include "routing/slot_counter.h"

namespace papayadrift::routing {

// Slot counters by address of the runner.
using SlotCounters = std::map<std::string, std::shared_ptr<SlotCounter>>;

// A routing table with the slot counters of its runners. A counter is kept
// across tables for as long as slots of it are in use.
struct RoutingState {
  RoutingTable table;
  SlotCounters counters;

  friend bool operator==(const RoutingState&, const RoutingState&) = default;
};

// Returns the state for `table` that follows `previous`. The limits of the
// reused counters have been set when this returns.
RoutingState NextRoutingState(const RoutingState& previous, RoutingTable table);

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_ROUTING_STATE_H_
