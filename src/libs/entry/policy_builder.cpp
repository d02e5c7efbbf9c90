#include "entry/policy_builder.h"

#include <algorithm>
#include <iterator>

namespace papayadrift::entry {

namespace {

placement::TeamPolicy TeamOf(const configuration::Team& team) {
  return {team.team, team.quota, static_cast<double>(team.weight)};
}

placement::ServicePolicy ServiceOf(const configuration::Service& service) {
  return {service.service, service.customer, service.latency_target};
}

placement::CustomerPolicy CustomerOf(const configuration::Customer& customer) {
  return {customer.customer, static_cast<double>(customer.tail_latency_weight),
          static_cast<double>(customer.throughput_weight)};
}

placement::LimitPolicy LimitsOf(const configuration::Limits& limits) {
  return {static_cast<uint32_t>(limits.attempts_per_task),
          static_cast<double>(limits.evictions_per_hour)};
}

}  // namespace

placement::Policy PolicyOf(const configuration::Configuration& configuration) {
  placement::Policy policy;
  std::ranges::transform(configuration.teams, std::back_inserter(policy.teams),
                         TeamOf);
  std::ranges::transform(configuration.services,
                         std::back_inserter(policy.services), ServiceOf);
  std::ranges::transform(configuration.customers,
                         std::back_inserter(policy.customers), CustomerOf);
  policy.limits = LimitsOf(configuration.limits);
  return policy;
}

}  // namespace papayadrift::entry
