#include "routing/request_engine.h"

#include <utility>

#include "routing/event_handler_p.h"

namespace papayadrift::routing {

RequestEngine::RequestEngine(RoutingSettings settings)
    : handler_(std::make_unique<EventHandler>(std::move(settings))) {}

RequestEngine::~RequestEngine() = default;

std::vector<Action> RequestEngine::Handle(Event event, EventTime now) {
  return handler_->Handle(std::move(event), now);
}

Instant RequestEngine::SetUsableUntil(Instant until) {
  return handler_->slots().SetUsableUntil(until);
}

size_t RequestEngine::waiting_count() const {
  return handler_->waiting_count();
}

size_t RequestEngine::flow_count() const {
  return handler_->flow_count();
}

uint64_t RequestEngine::unmatched_result_count() const {
  return handler_->unmatched_result_count();
}

bool RequestEngine::is_idle() const {
  return handler_->is_idle();
}

const ServiceState* RequestEngine::FindService(const ServiceId& service) const {
  return std::as_const(*handler_).services().Find(service);
}

}  // namespace papayadrift::routing
