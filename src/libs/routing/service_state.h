#ifndef PAPAYADRIFT_ROUTING_SERVICE_STATE_H_
#define PAPAYADRIFT_ROUTING_SERVICE_STATE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "base/identifiers.h"
#include "base/instant.h"
#include "base/refusal.h"
#include "routing/concurrency_limit.h"
#include "routing/events.h"
#include "routing/fair_queue.h"
#include "routing/latency_sketch.h"
#include "routing/retry_budget.h"
#include "routing/routing_settings.h"
#include "routing/runner_pool.h"
#include "routing/service_load.h"

namespace papayadrift::routing {

// Why a request is refused, and when another try has a chance.
struct AdmissionRefusal {
  RefusalReason reason = RefusalReason::kOverloaded;
  std::optional<Instant> retry_at;

  friend bool operator==(const AdmissionRefusal&,
                         const AdmissionRefusal&) = default;
};

// What an entry knows of one service: its runners, its queue, its limits and
// its latencies.
class ServiceState {
 public:
  ServiceState(const RoutingSettings& settings, const ServiceId& service);

  void Update(const ServiceRoute& route,
              const SlotCounters& counters,
              Instant now);

  // Takes over what may be used of the runners now.
  void UpdateLimits();

  // Takes a service that the table no longer has: its runners are gone.
  void RemoveRunners();

  // Returns why a new request with these facts can't be taken, or nothing.
  std::optional<AdmissionRefusal> CheckAdmission(const RequestInfo& info,
                                                 Instant now) const;

  // Returns what Judge() goes by for a request of the customer.
  ServiceLoad LoadFor(const CustomerId& customer) const;

  // Returns when a request with `deadline` must be sent at the latest.
  Instant LatestStart(Instant deadline) const;

  // Whether the request is worth sending: in time by what is known, or alone,
  // so that something is learned.
  bool IsWorthSending(Instant deadline, Instant now) const;

  // Returns when a sent request is to be hedged.
  Instant HedgeAt(Instant sent_at) const;

  // Returns the next request to send, leaving out customers at their limit.
  std::optional<RequestId> PopNext();

  // Whether the limits of service and customer allow one more send.
  bool HasRoomFor(const CustomerId& customer) const;
  bool HasRoom() const;

  void RecordSent(const CustomerId& customer);
  void RecordEnded(const CustomerId& customer);

  // Takes in how long a send took until its answer, or until nobody waited for
  // one any more.
  void RecordAnswered(const CustomerId& customer,
                      microseconds latency,
                      Instant now);
  void RecordUnanswered(const CustomerId& customer,
                        microseconds waited,
                        Instant now);

  // Requests refused for the wait ahead since they were last taken.
  void AddSlotShortage() { ++slot_shortages_; }
  size_t TakeSlotShortages() { return std::exchange(slot_shortages_, 0); }

  // Requests that refer to the service, from arrival until all is over.
  void AddRequest() { ++request_count_; }
  void RemoveRequest() { --request_count_; }
  bool has_requests() const { return request_count_ > 0; }

  const ServiceRoute& route() const { return route_; }
  // Returns how many requests may wait at most.
  size_t maximum_queue() const;
  int32_t in_flight() const { return in_flight_; }
  int32_t limit() const { return limit_.limit(); }
  const FairQueue& queue() const { return queue_; }
  const RunnerPool& pool() const { return pool_; }
  const LatencySketch& answer_latency() const { return answers_; }
  FairQueue& queue() { return queue_; }
  RunnerPool& pool() { return pool_; }
  RetryBudget& budget() { return budget_; }

 private:
  struct Customer {
    ConcurrencyLimit limit;
    int32_t in_flight = 0;
    double mean_latency = 0;
  };

  void RecordAny(const CustomerId& customer, microseconds latency, Instant now);
  microseconds ExpectedServiceTime() const;
  Customer& CustomerOf(const CustomerId& customer);
  microseconds PredictedWait(const CustomerId& customer) const;

  // Returns how long a request may wait so that the service keeps its latency
  // target; the time of one request if it can't keep it anyway.
  microseconds LongestWait() const;
  AdmissionRefusal RefuseLater(RefusalReason reason, Instant now) const;

  const RoutingSettings& settings_;
  ServiceRoute route_;
  RunnerPool pool_;
  FairQueue queue_;
  ConcurrencyLimit limit_;
  LatencySketch answers_;  // Of sends that had an answer.
  LatencySketch all_;      // Of these, and of those given up.
  RetryBudget budget_;
  std::map<CustomerId, Customer> customers_;
  int32_t in_flight_ = 0;
  int64_t request_count_ = 0;
  size_t slot_shortages_ = 0;
  Instant updated_at_;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_SERVICE_STATE_H_
