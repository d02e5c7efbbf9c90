#ifndef PAPAYADRIFT_ROUTING_SERVICE_LOAD_H_
#define PAPAYADRIFT_ROUTING_SERVICE_LOAD_H_

#include <cstddef>
#include <cstdint>

#include "base/instant.h"

namespace papayadrift::routing {

// What an entry knew of a service when it decided about a request: the inputs
// of that decision, for whoever explains it later.
struct ServiceLoad {
  size_t waiting = 0;        // Requests in the queue of this entry.
  int32_t in_flight = 0;     // Sends of this entry that are open.
  int32_t limit = 0;         // Most open sends, as learned from latencies.
  int32_t usable_slots = 0;  // Slots of all runners that this entry may use.
  microseconds expected_service_time{0};
  microseconds predicted_wait{0};  // For one more request of the customer.
  // When the table of runners that this rests on was put in force.
  Instant runners_since;

  friend bool operator==(const ServiceLoad&, const ServiceLoad&) = default;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_SERVICE_LOAD_H_
