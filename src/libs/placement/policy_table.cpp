#include <algorithm>

#include "placement/policy_table_p.h"

namespace papayadrift::placement {

void PolicyTable::Set(const Policy& policy) {
  std::unordered_map<ServiceId, ServiceTerms> services;
  for (const ServicePolicy& it : policy.services) {
    ServiceTerms& terms = services[it.service];
    terms.highest_rate = of(it.service).highest_rate;
    terms.p99_target_microseconds = static_cast<double>(it.p99_target.count());
    const auto weights = std::ranges::find(policy.customers, it.customer,
                                           &CustomerPolicy::customer);
    if (weights != policy.customers.end()) {
      const double sum = weights->tail_weight + weights->throughput_weight;
      terms.tail_share = sum > 0 ? weights->tail_weight / sum : 0.5;
    }
  }
  services_ = std::move(services);
  limits_ = policy.limits;
}

double PolicyTable::RecordRate(const ServiceId& service, double rate) {
  double& highest = services_[service].highest_rate;
  highest = std::max(highest, rate);
  return highest > 0 ? rate / highest : 0.0;
}

const ServiceTerms& PolicyTable::of(const ServiceId& service) const {
  static const ServiceTerms unknown;
  const auto it = services_.find(service);
  return it == services_.end() ? unknown : it->second;
}

}  // namespace papayadrift::placement
