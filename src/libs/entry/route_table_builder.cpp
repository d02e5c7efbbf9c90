#include "entry/route_table_builder.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace papayadrift::entry {

namespace {

routing::RunnerState StateOf(replay::WorkerPhase phase) {
  switch (phase) {
    case replay::WorkerPhase::kLive:
      return routing::RunnerState::kServing;
    case replay::WorkerPhase::kDraining:
      return routing::RunnerState::kDraining;
    case replay::WorkerPhase::kLapsed:
      return routing::RunnerState::kEjected;
  }
  return routing::RunnerState::kEjected;
}

routing::ServiceRoute RouteOf(const configuration::Service& service,
                              const configuration::Limits& limits) {
  constexpr double kPercent = 100;
  routing::ServiceRoute route;
  route.service = service.service;
  route.latency_target = service.latency_target;
  route.priority = static_cast<int32_t>(service.priority);
  route.is_idempotent = service.is_idempotent;
  route.maximum_body_bytes = static_cast<size_t>(service.maximum_body_bytes);
  route.maximum_queue = static_cast<size_t>(service.maximum_queue);
  route.extra_sends_per_request =
      static_cast<double>(limits.retry_percent) / kPercent;
  return route;
}

}  // namespace

routing::RoutingTable BuildRoutingTable(
    const configuration::Configuration& configuration,
    const replay::WorkerTable& workers,
    const ShareOf& share_of) {
  std::map<ServiceId, routing::ServiceRoute> routes;
  for (const configuration::Service& service : configuration.services) {
    routes.emplace(service.service, RouteOf(service, configuration.limits));
  }
  // Of several incarnations at one address, the newest counts.
  std::map<std::string, std::pair<ServiceId, routing::RunnerRoute>> runners;
  for (const auto& [key, worker] : workers.workers()) {
    for (const records::Runner& runner : worker.runners) {
      const membership::RunnerShare share =
          share_of(runner.address, {runner.slots, runner.connections});
      const routing::RunnerRoute route{
          runner.address, worker.zone,       key.worker,
          share.slots,    share.connections, StateOf(worker.phase)};
      runners[runner.address] = {runner.service, route};
    }
  }
  for (auto& [address, runner] : runners) {
    const auto it = routes.find(runner.first);
    if (it != routes.end()) {
      it->second.runners.push_back(std::move(runner.second));
    }
  }
  std::vector<routing::ServiceRoute> services;
  services.reserve(routes.size());
  for (auto& [service, route] : routes) {
    services.push_back(std::move(route));
  }
  return routing::RoutingTable(std::move(services));
}

}  // namespace papayadrift::entry
