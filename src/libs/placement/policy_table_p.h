#ifndef PAPAYADRIFT_PLACEMENT_POLICY_TABLE_P_H_
#define PAPAYADRIFT_PLACEMENT_POLICY_TABLE_P_H_

#include <unordered_map>

#include "placement/policy.h"

namespace papayadrift::placement {

// What placement needs to know of a service.
struct ServiceTerms {
  double p99_target_microseconds = 0;  // 0 when there is none.
  // Weight of tail latency among both weights of its customer, 0 to 1.
  double tail_share = 0.5;
  double highest_rate = 0;  // Requests a second of one runner.

  friend bool operator==(const ServiceTerms&, const ServiceTerms&) = default;
};

// The policy in force, by service.
class PolicyTable {
 public:
  void Set(const Policy& policy);
  // Notes a measured rate; returns its part of the highest one seen.
  double RecordRate(const ServiceId& service, double rate);

  const ServiceTerms& of(const ServiceId& service) const;
  const LimitPolicy& limits() const { return limits_; }

 private:
  std::unordered_map<ServiceId, ServiceTerms> services_;
  LimitPolicy limits_;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_POLICY_TABLE_P_H_
