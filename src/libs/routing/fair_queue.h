#ifndef PAPAYADRIFT_ROUTING_FAIR_QUEUE_H_
#define PAPAYADRIFT_ROUTING_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>

#include "base/identifiers.h"
#include "base/instant.h"
#include "routing/events.h"

namespace papayadrift::routing {

// Waiting requests of one service, scheduled between customers by deficit round
// robin: over time each waiting customer gets slot time in proportion to its
// weight, regardless of the number and duration of its requests.
class FairQueue {
 public:
  using MaySend = std::function<bool(const CustomerId&)>;

  void SetWeight(const CustomerId& customer, uint32_t weight);

  // Sets the expected slot time of one request of the customer.
  void SetCost(const CustomerId& customer, microseconds cost);

  void Push(const CustomerId& customer, RequestId request);

  // Removes and returns the next request of a customer for which `may_send`
  // returns true.
  std::optional<RequestId> Pop(const MaySend& may_send);

  // Removes a request; has no effect if it is not queued.
  void Remove(const CustomerId& customer, RequestId request);

  // Makes room for one request of `customer` by evicting the newest request of
  // the customer with the longest queue in relation to its weight. Returns
  // nothing if that is `customer` itself, whose new request is then to be
  // refused.
  std::optional<RequestId> EvictFor(const CustomerId& customer);

  // Evicts the newest request of the customer with the longest queue in
  // relation to its weight.
  std::optional<RequestId> EvictFromLongest();

  size_t size() const { return size_; }

  // Returns the waiting request with the lowest id, if any.
  std::optional<RequestId> Oldest() const;

  // Returns how many requests would be served before a new one of `customer`.
  size_t AheadOf(const CustomerId& customer) const;

 private:
  struct CustomerQueue {
    uint32_t weight = 1;
    int64_t cost = 1;
    int64_t deficit = 0;
    bool is_active = false;
    std::deque<RequestId> waiting;
  };
  using CustomerQueues = std::map<CustomerId, CustomerQueue>;

  CustomerQueues::iterator LongestQueue();
  RequestId PopNewest(CustomerQueue& queue);
  int64_t Quantum() const;
  void EndTurn();

  CustomerQueues queues_;
  std::deque<CustomerQueues::iterator>
      active_queues_;  // The front queue is being served.
  size_t size_ = 0;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_FAIR_QUEUE_H_
