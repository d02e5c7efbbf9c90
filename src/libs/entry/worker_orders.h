#ifndef PAPAYADRIFT_ENTRY_WORKER_ORDERS_H_
#define PAPAYADRIFT_ENTRY_WORKER_ORDERS_H_

#include <map>
#include <vector>

#include "base/identifiers.h"
#include "base/resources.h"
#include "replay/decision_state.h"
#include "worker_protocol/messages.h"

namespace papayadrift::entry {

// Grants to be enforced before the log records them: always lower ones.
using LowerGrants = std::map<TaskId, Resources>;

// Returns what a worker that runs `reports` has yet to do to be as the replayed
// state says. Meeting all orders and reporting so leaves none.
std::vector<worker_protocol::Order> OrdersFor(
    const replay::DecisionState& state,
    const replay::WorkerKey& worker,
    const std::vector<worker_protocol::AttemptReport>& reports,
    const LowerGrants& lower_grants);

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_WORKER_ORDERS_H_
