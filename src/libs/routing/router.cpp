#include "routing/router.h"

#include <utility>

namespace papayadrift::routing {

namespace {

using StatePointer = std::shared_ptr<const RoutingState>;

}  // namespace

Router::Router(RoutingSettings settings, Perform perform)
    : engine_(std::move(settings)),
      event_queue_(Handler{&engine_, std::move(perform)}),
      state_(std::make_shared<const RoutingState>()) {}

RequestId Router::NextRequest() {
  return RequestId(last_request_.fetch_add(1) + 1);
}

void Router::Handle(Event event, EventTime now) {
  event_queue_.Post({std::move(event), now});
}

void Router::Publish(RoutingTable table, EventTime now) {
  const std::scoped_lock lock(publishers_);
  const auto previous =
      state_.Read([](const StatePointer& state) { return state; });
  const auto following = std::make_shared<const RoutingState>(
      NextRoutingState(*previous, std::move(table)));
  Handle(TableChanged{following}, now);
  state_.Replace(following);
}

Router::ServiceSummary Router::Summary(const ServiceId& service) const {
  return state_.Read([&](const StatePointer& state) {
    const ServiceRoute* route = state->table.Find(service);
    return route == nullptr ? ServiceSummary()
                            : ServiceSummary{true, route->is_idempotent,
                                             route->maximum_body_bytes};
  });
}

void Router::SetSlotLimit(const ServiceId& service,
                          const std::string& address,
                          const SlotLimit& limit,
                          EventTime now) {
  if (const auto counter = FindSlotCounter(address)) {
    counter->SetLimit(limit);
    Handle(SlotsChanged{service}, now);
  }
}

bool Router::TrySetSlotLimit(const std::string& address,
                             const SlotLimit& limit) {
  const auto counter = FindSlotCounter(address);
  return counter && counter->TrySetLimit(limit);
}

void Router::SetUsableUntil(Instant until, EventTime now) {
  const Instant before = engine_.SetUsableUntil(until);
  if (before <= now.instant && now.instant < until) {
    Handle(SlotsChanged(), now);
  }
}

int32_t Router::slots_in_use(const std::string& address) const {
  const auto counter = FindSlotCounter(address);
  return counter ? counter->in_use() : 0;
}

std::shared_ptr<SlotCounter> Router::FindSlotCounter(
    const std::string& address) const {
  return state_.Read(
      [&](const StatePointer& state) -> std::shared_ptr<SlotCounter> {
        const auto it = state->counters.find(address);
        return it == state->counters.end() ? nullptr : it->second;
      });
}

void Router::Handler::operator()(TimedEvent item) {
  for (Action& action : engine->Handle(std::move(item.event), item.now)) {
    perform(std::move(action));
  }
}

}  // namespace papayadrift::routing
