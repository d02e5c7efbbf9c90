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
  kDraining,  // Finishes what it has, gets nothing new.
  kEjected,   // Kept out by the operator or by its worker's lapse.
};

// A runner as one entry may use it.
struct RunnerRoute {
  std::string address;  // "ip:port"; unique among all runners.
  ZoneId zone;
  WorkerId worker;
  int32_t slot_share = 0;        // Slots that this entry may use.
  int32_t connection_share = 0;  // Connections that this entry may open.
  RunnerState state = RunnerState::kServing;
  // Until when slots may be taken: borrowed ones may be among them.
  Instant slots_until = SlotLimit::kNoExpiry;

  friend bool operator==(const RunnerRoute&, const RunnerRoute&) = default;
};

// Part of a service that a customer gets under contention.
struct CustomerWeight {
  CustomerId customer;
  uint32_t weight = 1;

  friend bool operator==(const CustomerWeight&,
                         const CustomerWeight&) = default;
};

struct ServiceRoute {
  ServiceId service;
  microseconds latency_target{100'000};
  int32_t priority = 0;  // The lowest is shed first.
  bool is_idempotent = true;
  size_t maximum_body_bytes = 1 << 20;
  // Most requests that wait in this entry, and retries and hedges as a part of
  // first sends; those of RoutingSettings where not set.
  std::optional<size_t> maximum_queue;
  std::optional<double> extra_sends_per_request;
  std::vector<CustomerWeight> weights;  // Customers not named have weight 1.
  std::vector<RunnerRoute> runners;

  friend bool operator==(const ServiceRoute&, const ServiceRoute&) = default;
};

// Returns how many requests the entry may have at the runner at once: none
// unless it serves.
int32_t UsableShare(const RunnerRoute& runner);
// The same with its end.
SlotLimit UsableSlots(const RunnerRoute& runner);

// What an entry knows of services and runners at one moment.
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
