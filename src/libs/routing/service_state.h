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

// Reason of a refusal, and when a retry may succeed.
struct AdmissionRefusal {
  RefusalReason reason = RefusalReason::kOverloaded;
  std::optional<Instant> retry_at;

  friend bool operator==(const AdmissionRefusal&,
                         const AdmissionRefusal&) = default;
};

// State of one service in an entry: runners, queue, limits and latencies.
class ServiceState {
 public:
  ServiceState(const RoutingSettings& settings, const ServiceId& service);

  void Update(const ServiceRoute& route,
              const SlotCounters& counters,
              Instant now);

  // Applies the current slot limits of the runners.
  void UpdateLimits();

  // Removes all runners of a service that is no longer in the table.
  void RemoveRunners();

  // Returns why a new request must be refused, or nothing if it can be
  // admitted.
  std::optional<AdmissionRefusal> CheckAdmission(const RequestInfo& info,
                                                 Instant now) const;

  // Returns the inputs of CheckAdmission() for a request of the customer.
  ServiceLoad LoadFor(const CustomerId& customer) const;

  // Returns the latest time at which a request with `deadline` can be sent.
  Instant LatestStart(Instant deadline) const;

  // Returns whether the request should be sent: because it is expected to be
  // answered in time, or because it would be the only one and its latency can
  // be measured.
  bool IsWorthSending(Instant deadline, Instant now) const;

  // Returns the time at which a request sent at `sent_at` is hedged.
  Instant HedgeAt(Instant sent_at) const;

  // Removes and returns the next request to send; skips customers at their
  // limit.
  std::optional<RequestId> PopNext();

  // Return whether the limits (of the service, and of the customer if given)
  // allow another send.
  bool HasRoomFor(const CustomerId& customer) const;
  bool HasRoom() const;

  void RecordSent(const CustomerId& customer);
  void RecordEnded(const CustomerId& customer);

  // Record the time from a send to its response, or until the response was no
  // longer awaited.
  void RecordAnswered(const CustomerId& customer,
                      microseconds latency,
                      Instant now);
  void RecordUnanswered(const CustomerId& customer,
                        microseconds waited,
                        Instant now);

  // Counts requests refused because of the predicted wait since the last call
  // of TakeSlotShortages().
  void AddSlotShortage() { ++slot_shortages_; }
  size_t TakeSlotShortages() { return std::exchange(slot_shortages_, 0); }

  // Counts the active requests of the service.
  void AddRequest() { ++request_count_; }
  void RemoveRequest() { --request_count_; }
  bool has_requests() const { return request_count_ > 0; }

  const ServiceRoute& route() const { return route_; }
  // Returns the maximum number of queued requests.
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

  // Returns how long a request may be queued for the service to meet its
  // latency target; the mean latency of one request if it can't be met anyway.
  microseconds LongestWait() const;
  AdmissionRefusal RefuseLater(RefusalReason reason, Instant now) const;

  const RoutingSettings& settings_;
  ServiceRoute route_;
  RunnerPool pool_;
  FairQueue queue_;
  ConcurrencyLimit limit_;
  LatencySketch answers_;  // Latencies of sends with a response.
  // Latencies of these sends and of those without a response.
  LatencySketch all_;
  RetryBudget budget_;
  std::map<CustomerId, Customer> customers_;
  int32_t in_flight_ = 0;
  int64_t request_count_ = 0;
  size_t slot_shortages_ = 0;
  Instant updated_at_;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_SERVICE_STATE_H_
