#include "routing/router.h"

#include <utility>

namespace papayadrift::routing {

namespace {

using StatePointer = std::shared_ptr<const RoutingState>;

}  // namespace

Router::Router(RoutingSettings settings, Perform perform)
    : engine_(std::move(settings)),
      lane_(Handler{&engine_, std::move(perform)}),
      state_(std::make_shared<const RoutingState>()) {}

RequestId Router::NextRequest() {
  return RequestId(last_request_.fetch_add(1) + 1);
}

void Router::Handle(Event event, Moment now) {
  lane_.Post({std::move(event), now});
}

void Router::Publish(RoutingTable table, Moment now) {
  const std::scoped_lock lock(publishers_);
  const auto previous =
      state_.Read([](const StatePointer& state) { return state; });
  const auto following = std::make_shared<const RoutingState>(
      FollowingState(*previous, std::move(table)));
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

void Router::Allow(const ServiceId& service,
                   const std::string& address,
                   const SlotAllowance& allowance,
                   Moment now) {
  if (const auto account = AccountOf(address)) {
    account->Allow(allowance);
    Handle(SlotsChanged{service}, now);
  }
}

bool Router::TryAllow(const std::string& address,
                      const SlotAllowance& allowance) {
  const auto account = AccountOf(address);
  return account && account->TryAllow(allowance);
}

void Router::SetUsableUntil(Instant until, Moment now) {
  const Instant before = engine_.SetUsableUntil(until);
  if (before <= now.instant && now.instant < until) {
    Handle(SlotsChanged(), now);
  }
}

int32_t Router::slots_in_use(const std::string& address) const {
  const auto account = AccountOf(address);
  return account ? account->in_use() : 0;
}

std::shared_ptr<SlotAccount> Router::AccountOf(
    const std::string& address) const {
  return state_.Read(
      [&](const StatePointer& state) -> std::shared_ptr<SlotAccount> {
        const auto it = state->accounts.find(address);
        return it == state->accounts.end() ? nullptr : it->second;
      });
}

void Router::Handler::operator()(TimedEvent item) {
  for (Action& action : engine->Handle(std::move(item.event), item.now)) {
    perform(std::move(action));
  }
}

}  // namespace papayadrift::routing
