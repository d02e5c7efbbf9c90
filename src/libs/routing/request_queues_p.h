#ifndef PAPAYADRIFT_ROUTING_REQUEST_QUEUES_P_H_
#define PAPAYADRIFT_ROUTING_REQUEST_QUEUES_P_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "routing/request_flow.h"
#include "routing/routing_settings.h"
#include "routing/service_state.h"
#include "routing/service_table_p.h"

namespace papayadrift::routing {

// Whether one more request may be queued, and which request was evicted for it.
struct QueueRoom {
  bool has_room = false;
  std::optional<RequestId> evicted;

  friend bool operator==(const QueueRoom&, const QueueRoom&) = default;
};

// The queues of all services, with a common bound.
class RequestQueues {
 public:
  RequestQueues(const RoutingSettings& settings, ServiceTable& services);

  // Evicts a request if the new request of `customer` takes precedence over it;
  // the evicted one is to be refused.
  QueueRoom MakeRoomFor(const CustomerId& customer, ServiceState& service);

  void Push(RequestFlow& flow, ServiceState& service, Instant now);

  // Removes and returns the next request; skips customers at their limit.
  std::optional<RequestId> PopNext(ServiceState& service);

  // Removes a request from its queue; has no effect if it is not queued.
  void Remove(const RequestFlow& flow);

  // Returns the number of queued requests.
  size_t waiting_count() const { return waiting_count_; }

 private:
  ServiceState* LowestWaitingBelow(int32_t priority);

  const RoutingSettings& settings_;
  ServiceTable& services_;
  size_t waiting_count_ = 0;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_REQUEST_QUEUES_P_H_
