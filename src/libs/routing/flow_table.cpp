#include <cassert>
#include <utility>

#include "base/lookup.h"
#include "routing/flow_table_p.h"

namespace papayadrift::routing {

FlowTable::FlowTable(ServiceTable& services) : services_(services) {}

RequestFlow& FlowTable::Add(const RequestInfo& info,
                            bool is_idempotent,
                            FlowPhase phase) {
  const auto [it, is_new] =
      flows_.try_emplace(info.id, info, is_idempotent, phase);
  assert(is_new);
  services_.At(info.service).AddRequest();
  return it->second;
}

void FlowTable::MarkForCleanup(RequestId request) {
  cleanup_candidates_.push_back(request);
}

void FlowTable::EraseDone() {
  for (const RequestId request : std::exchange(cleanup_candidates_, {})) {
    const RequestFlow* flow = Find(request);
    if (flow != nullptr && flow->is_done()) {
      services_.Of(*flow).RemoveRequest();
      flows_.erase(request);
    }
  }
}

RequestFlow* FlowTable::Find(RequestId request) {
  return FindOrNull(flows_, request);
}

}  // namespace papayadrift::routing
