#ifndef PAPAYADRIFT_PLACEMENT_POLICY_TABLE_P_H_
#define PAPAYADRIFT_PLACEMENT_POLICY_TABLE_P_H_

#include <unordered_map>

#include "placement/policy.h"

namespace papayadrift::placement {

// Latency target and weights of a service.
struct ServiceTerms {
  double p99_target_microseconds = 0;  // 0 when there is none.
  // Weight of tail latency as a fraction of both weights of its customer, 0 to
  // 1.
  double tail_share = 0.5;
  double highest_rate = 0;  // Requests per second of one runner.

  friend bool operator==(const ServiceTerms&, const ServiceTerms&) = default;
};

// Policy in force, indexed by service.
class PolicyTable {
 public:
  void Set(const Policy& policy);
  // Records a measured rate; returns it as a fraction of the highest rate seen.
  double RecordRate(const ServiceId& service, double rate);

  const ServiceTerms& of(const ServiceId& service) const;
  const LimitPolicy& limits() const { return limits_; }

 private:
  std::unordered_map<ServiceId, ServiceTerms> services_;
  LimitPolicy limits_;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_POLICY_TABLE_P_H_
