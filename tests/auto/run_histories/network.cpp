#include "network.h"

#include <algorithm>

namespace papayadrift::run_histories {
namespace {

constexpr microseconds kLatency(2000);
constexpr microseconds kStoreLatency(8000);

bool IsOfStore(LinkKind kind) {
  return kind == LinkKind::kStoreWrite || kind == LinkKind::kStoreRead ||
         kind == LinkKind::kAgentRead;
}

// Whether a cut of the link refuses connections; calls over others get lost.
bool IsRefusedByCut(const Link& link) {
  return link.kind == LinkKind::kHold && link.index % 2 == 1;
}

bool IsToRunner(LinkKind kind) {
  return kind == LinkKind::kOrder || kind == LinkKind::kHold;
}

}  // namespace

Network::Condition& Network::ConditionOf(const Link& link) {
  return conditions_.at(static_cast<size_t>(link.kind) * kLinksOfKind +
                        link.index);
}

void Network::Inject(const Link& link, const Fault& fault) {
  ConditionOf(link).faults.push_back(fault);
}

void Network::Cut(const Link& link, Instant until) {
  Condition& condition = ConditionOf(link);
  condition.cut_until = std::max(condition.cut_until, until);
}

void Network::Heal() {
  conditions_.fill({});
}

Network::Plan Network::PlanOf(const Link& link) {
  Condition& condition = ConditionOf(link);
  const microseconds latency = IsOfStore(link.kind) ? kStoreLatency : kLatency;
  Plan plan;
  plan.request = latency;
  plan.answer = latency;
  if (simulation_.Now() < condition.cut_until) {
    if (IsRefusedByCut(link)) {
      plan.is_refused = true;
    } else {
      plan.request.reset();
    }
    return plan;
  }
  if (condition.faults.empty()) {
    return plan;
  }
  const Fault fault = condition.faults.front();
  condition.faults.pop_front();
  switch (fault.kind) {
    case Fault::Kind::kLoseRequest:
      plan.request.reset();
      break;
    case Fault::Kind::kLoseAnswer:
      plan.answer.reset();
      break;
    case Fault::Kind::kDelayRequest:
      // A runner holds a call up after it has arrived there: what its caller
      // gives up before that is reset.
      (IsToRunner(link.kind) ? plan.held_up : *plan.request) += fault.delay;
      break;
    case Fault::Kind::kDelayAnswer:
      *plan.answer += fault.delay;
      break;
    case Fault::Kind::kRepeatRequest:
      plan.repeat = latency + fault.delay;
      break;
    case Fault::Kind::kRefuse:
      plan.is_refused = true;
      break;
  }
  return plan;
}

}  // namespace papayadrift::run_histories
