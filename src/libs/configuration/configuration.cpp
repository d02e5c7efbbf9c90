#include "configuration/configuration.h"

#include <algorithm>

namespace papayadrift::configuration {

namespace {

template <typename T, typename Id>
const T* FindIn(const std::vector<T>& values, Id T::* member, const Id& id) {
  const auto it = std::ranges::find(values, id, member);
  return it == values.end() ? nullptr : &*it;
}

}  // namespace

const Region* FindRegion(const Configuration& configuration,
                         const RegionId& region) {
  return FindIn(configuration.regions, &Region::region, region);
}

const Customer* FindCustomer(const Configuration& configuration,
                             const CustomerId& customer) {
  return FindIn(configuration.customers, &Customer::customer, customer);
}

const Team* FindTeam(const Configuration& configuration, const TeamId& team) {
  return FindIn(configuration.teams, &Team::team, team);
}

const Service* FindService(const Configuration& configuration,
                           const ServiceId& service) {
  return FindIn(configuration.services, &Service::service, service);
}

}  // namespace papayadrift::configuration
