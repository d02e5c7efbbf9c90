#ifndef PAPAYADRIFT_ROUTING_ROUTING_TABLE_H_
#define PAPAYADRIFT_ROUTING_ROUTING_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/identifiers.h"
#include "base/instant.h"
#include "routing/slot_counter.h"

namespace papayadrift::routing {

enum class RunnerState {
  kServing,
  kDraining,  // Completes its requests but gets no new ones.
  // Excluded by the operator or because the lease of its worker has lapsed.
  kEjected,
};

// A runner from the point of view of one entry.
struct RunnerRoute {
  std::string address;  // "ip:port"; unique among all runners.
  ZoneId zone;
  WorkerId worker;
  int32_t slot_share = 0;        // Slots that this entry may use.
  int32_t connection_share = 0;  // Connections that this entry may open.
  RunnerState state = RunnerState::kServing;
  // Slots may be acquired until then, as borrowed ones may be among them.
  Instant slots_until = SlotLimit::kNoExpiry;

  friend bool operator==(const RunnerRoute&, const RunnerRoute&) = default;
};

// Relative share of a service that a customer gets under contention.
struct CustomerWeight {
  CustomerId customer;
  uint32_t weight = 1;

  friend bool operator==(const CustomerWeight&,
                         const CustomerWeight&) = default;
};

struct ServiceRoute {
  ServiceId service;
  microseconds latency_target{100'000};
  int32_t priority = 0;  // Services with the lowest priority are shed first.
  bool is_idempotent = true;
  size_t maximum_body_bytes = 1 << 20;
  // Maximum number of queued requests in this entry, and limit of retries and
  // hedges in relation to first sends; the values of RoutingSettings if not
  // set.
  std::optional<size_t> maximum_queue;
  std::optional<double> extra_sends_per_request;
  // Customers that are not listed have weight 1.
  std::vector<CustomerWeight> weights;
  std::vector<RunnerRoute> runners;

  friend bool operator==(const ServiceRoute&, const ServiceRoute&) = default;
};

// Returns the maximum number of concurrent requests of the entry at the runner:
// 0 unless the runner is serving.
int32_t UsableShare(const RunnerRoute& runner);
// Returns UsableShare() with its expiry.
SlotLimit UsableSlots(const RunnerRoute& runner);

// Services and runners as known to an entry at one point in time.
class RoutingTable {
 public:
  RoutingTable() = default;
  explicit RoutingTable(std::vector<ServiceRoute> services);

  // Returns the route of `service`, or null.
  const ServiceRoute* Find(const ServiceId& service) const;
  const std::vector<ServiceRoute>& services() const { return services_; }

  friend bool operator==(const RoutingTable&, const RoutingTable&) = default;

 private:
  std::vector<ServiceRoute> services_;  // Sorted by service.
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_ROUTING_TABLE_H_
