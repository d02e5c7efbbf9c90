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

// Whether one more request may wait, and which one had to go for it.
struct QueueRoom {
  bool has_room = false;
  std::optional<RequestId> evicted;

  friend bool operator==(const QueueRoom&, const QueueRoom&) = default;
};

// The queues of all services, bounded together.
class RequestQueues {
 public:
  RequestQueues(const RoutingSettings& settings, ServiceTable& services);

  // Takes a request out of its queue if the new one of `customer` goes before
  // it; that request is to be refused.
  QueueRoom MakeRoomFor(const CustomerId& customer, ServiceState& service);

  void Push(RequestFlow& flow, ServiceState& service, Instant now);

  // Takes the request that is next, leaving out customers at their limit.
  std::optional<RequestId> PopNext(ServiceState& service);

  // Takes a request out of its turn; no effect when it stands in no queue.
  void Remove(const RequestFlow& flow);

  // Returns how many requests wait.
  size_t waiting_count() const { return waiting_count_; }

 private:
  ServiceState* LowestWaitingBelow(int32_t priority);

  const RoutingSettings& settings_;
  ServiceTable& services_;
  size_t waiting_count_ = 0;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_REQUEST_QUEUES_P_H_
