#ifndef PAPAYADRIFT_PLACEMENT_POLICY_H_
#define PAPAYADRIFT_PLACEMENT_POLICY_H_

// Placement policy configured by operators.

#include <cstdint>
#include <limits>
#include <vector>

#include "base/identifiers.h"
#include "base/instant.h"
#include "base/resources.h"

namespace papayadrift::placement {

// A team's share of the region. Above its quota it may only borrow idle
// capacity.
struct TeamPolicy {
  TeamId team;
  Resources quota;
  double weight = 1.0;

  friend bool operator==(const TeamPolicy&, const TeamPolicy&) = default;
};

struct ServicePolicy {
  ServiceId service;
  CustomerId customer;
  microseconds p99_target{0};

  friend bool operator==(const ServicePolicy&, const ServicePolicy&) = default;
};

// A customer's weights of tail latency of its services and throughput of its
// batch work. Only the ratio matters.
struct CustomerPolicy {
  CustomerId customer;
  double tail_weight = 1.0;
  double throughput_weight = 1.0;

  friend bool operator==(const CustomerPolicy&,
                         const CustomerPolicy&) = default;
};

// Limits over all teams.
struct LimitPolicy {
  // Failed attempts of one task after which its job may be refused.
  uint32_t attempts_per_task = 8;
  // Evictions for services, in the whole region.
  double evictions_per_hour = std::numeric_limits<double>::infinity();

  friend bool operator==(const LimitPolicy&, const LimitPolicy&) = default;
};

struct Policy {
  std::vector<TeamPolicy> teams;
  std::vector<ServicePolicy> services;
  std::vector<CustomerPolicy> customers;
  LimitPolicy limits;

  friend bool operator==(const Policy&, const Policy&) = default;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_POLICY_H_
