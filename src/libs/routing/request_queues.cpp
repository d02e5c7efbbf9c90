#include "routing/request_queues_p.h"

namespace papayadrift::routing {

RequestQueues::RequestQueues(const RoutingSettings& settings,
                             ServiceTable& services)
    : settings_(settings), services_(services) {}

QueueRoom RequestQueues::MakeRoomFor(const CustomerId& customer,
                                     ServiceState& service) {
  if (service.queue().size() >= service.maximum_queue()) {
    const auto evicted = service.queue().EvictFor(customer);
    waiting_count_ -= evicted ? 1 : 0;
    return {evicted.has_value(), evicted};
  }
  if (waiting_count_ < settings_.maximum_queued) {
    return {true, std::nullopt};
  }
  ServiceState* lowest = LowestWaitingBelow(service.route().priority);
  if (lowest == nullptr) {
    return {};
  }
  --waiting_count_;
  return {true, lowest->queue().EvictFromLongest()};
}

void RequestQueues::Push(RequestFlow& flow,
                         ServiceState& service,
                         Instant now) {
  flow.StartWaiting(now);
  ++waiting_count_;
  service.queue().Push(flow.info().customer, flow.info().id);
}

std::optional<RequestId> RequestQueues::PopNext(ServiceState& service) {
  const auto next = service.PopNext();
  waiting_count_ -= next ? 1 : 0;
  return next;
}

void RequestQueues::Remove(const RequestFlow& flow) {
  FairQueue& queue = services_.Of(flow).queue();
  const size_t before = queue.size();
  queue.Remove(flow.info().customer, flow.info().id);
  waiting_count_ -= before - queue.size();
}

ServiceState* RequestQueues::LowestWaitingBelow(int32_t priority) {
  ServiceState* lowest = nullptr;
  for (auto& [id, service] : services_.all()) {
    const int32_t own = service.route().priority;
    const bool is_lower =
        own < (lowest == nullptr ? priority : lowest->route().priority);
    if (is_lower && service.queue().size() > 0) {
      lowest = &service;
    }
  }
  return lowest;
}

}  // namespace papayadrift::routing
