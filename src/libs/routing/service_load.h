#ifndef PAPAYADRIFT_ROUTING_SERVICE_LOAD_H_
#define PAPAYADRIFT_ROUTING_SERVICE_LOAD_H_

#include <cstddef>
#include <cstdint>

#include "base/instant.h"

namespace papayadrift::routing {

// State of a service when the entry decided about a request. These are the
// inputs of the decision and can be reported to explain it.
struct ServiceLoad {
  size_t waiting = 0;     // Requests queued in this entry.
  int32_t in_flight = 0;  // Open sends of this entry.
  int32_t limit = 0;      // Limit of open sends, derived from latencies.
  // Slots of all runners that are available to this entry.
  int32_t usable_slots = 0;
  microseconds expected_service_time{0};
  microseconds predicted_wait{0};  // For another request of the customer.
  // Time at which the underlying routing table was applied.
  Instant runners_since;

  friend bool operator==(const ServiceLoad&, const ServiceLoad&) = default;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_SERVICE_LOAD_H_
