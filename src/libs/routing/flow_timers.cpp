#include "routing/flow_timers.h"

namespace papayadrift::routing {

void FlowTimers::Set(RequestId request, Instant at) {
  const auto [it, is_new] = instants_.try_emplace(request, at);
  if (!is_new) {
    order_.erase({it->second, request});
    it->second = at;
  }
  order_.emplace(at, request);
}

void FlowTimers::Remove(RequestId request) {
  const auto it = instants_.find(request);
  if (it == instants_.end()) {
    return;
  }
  order_.erase({it->second, request});
  instants_.erase(it);
}

std::optional<RequestId> FlowTimers::TakeDue(Instant now) {
  if (order_.empty() || order_.begin()->first > now) {
    return std::nullopt;
  }
  const RequestId request = order_.begin()->second;
  Remove(request);
  return request;
}

std::optional<Instant> FlowTimers::earliest() const {
  if (order_.empty()) {
    return std::nullopt;
  }
  return order_.begin()->first;
}

}  // namespace papayadrift::routing
