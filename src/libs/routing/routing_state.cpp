#include "routing/routing_state.h"

#include <utility>

namespace papayadrift::routing {

namespace {

std::shared_ptr<SlotCounter> CounterFor(const SlotCounters& previous,
                                        const std::string& address) {
  const auto it = previous.find(address);
  return it == previous.end() ? std::make_shared<SlotCounter>() : it->second;
}

// Removed runners get no new requests; their counters are kept while slots are
// in use.
void KeepBusyCounters(const SlotCounters& previous, SlotCounters& counters) {
  for (const auto& [address, counter] : previous) {
    if (counters.contains(address)) {
      continue;
    }
    counter->SetLimit({0});
    if (counter->in_use() > 0) {
      counters.emplace(address, counter);
    }
  }
}

}  // namespace

RoutingState NextRoutingState(const RoutingState& previous,
                              RoutingTable table) {
  SlotCounters counters;
  for (const ServiceRoute& service : table.services()) {
    for (const RunnerRoute& runner : service.runners) {
      auto counter = CounterFor(previous.counters, runner.address);
      counter->SetLimit(UsableSlots(runner));
      counters.emplace(runner.address, std::move(counter));
    }
  }
  KeepBusyCounters(previous.counters, counters);
  return {std::move(table), std::move(counters)};
}

}  // namespace papayadrift::routing
