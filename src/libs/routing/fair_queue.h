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

// Waiting requests of one service, in turn between customers by deficit round
// robin: over time each waiting customer gets slot time in proportion to its
// weight, however many requests it makes and however long they take.
class FairQueue {
 public:
  using MaySend = std::function<bool(const CustomerId&)>;

  void SetWeight(const CustomerId& customer, uint32_t weight);

  // Sets the slot time that one request of the customer takes.
  void SetCost(const CustomerId& customer, microseconds cost);

  void Push(const CustomerId& customer, RequestId request);

  // Takes the next request of a customer for which `may_send` holds.
  std::optional<RequestId> Pop(const MaySend& may_send);

  // Takes a request out of its turn; no effect when it does not wait.
  void Remove(const CustomerId& customer, RequestId request);

  // Makes room for one request of `customer`: takes out the newest request of
  // the customer that waits with most for its weight. Nothing when that is
  // `customer` itself, whose request is then the one to refuse.
  std::optional<RequestId> EvictFor(const CustomerId& customer);

  // Takes out the newest request of the customer with most for its weight.
  std::optional<RequestId> EvictFromLongest();

  size_t size() const { return size_; }

  // Returns the request that waits with the lowest number, if any waits.
  std::optional<RequestId> Oldest() const;

  // Returns how many requests are ahead of a new one of `customer`.
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
      active_queues_;  // The front one is being served.
  size_t size_ = 0;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_FAIR_QUEUE_H_
