#include <utility>

#include "base/lookup.h"
#include "routing/service_table_p.h"

namespace papayadrift::routing {

ServiceTable::ServiceTable(const RoutingSettings& settings)
    : settings_(settings), state_(std::make_shared<const RoutingState>()) {}

void ServiceTable::Update(std::shared_ptr<const RoutingState> state,
                          Instant now) {
  state_ = std::move(state);
  std::erase_if(services_, [this](const auto& it) {
    return !IsRouted(it.first) && !it.second.has_requests();
  });
  for (auto& [id, service] : services_) {
    if (!IsRouted(id)) {
      service.RemoveRunners();
    }
  }
  for (const ServiceRoute& route : state_->table.services()) {
    const auto it =
        services_.try_emplace(route.service, settings_, route.service).first;
    it->second.Update(route, state_->counters, now);
  }
}

bool ServiceTable::IsRouted(const ServiceId& service) const {
  return state_->table.Find(service) != nullptr;
}

ServiceState* ServiceTable::Find(const ServiceId& service) {
  return FindOrNull(services_, service);
}

const ServiceState* ServiceTable::Find(const ServiceId& service) const {
  return FindOrNull(services_, service);
}

ServiceState& ServiceTable::At(const ServiceId& service) {
  return services_.at(service);
}

const ServiceState& ServiceTable::At(const ServiceId& service) const {
  return services_.at(service);
}

}  // namespace papayadrift::routing
