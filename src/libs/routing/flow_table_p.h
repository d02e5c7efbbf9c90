#ifndef PAPAYADRIFT_ROUTING_FLOW_TABLE_P_H_
#define PAPAYADRIFT_ROUTING_FLOW_TABLE_P_H_

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "routing/request_flow.h"
#include "routing/service_table_p.h"

namespace papayadrift::routing {

// The active requests. A request is kept until no event can concern it any
// more.
class FlowTable {
 public:
  explicit FlowTable(ServiceTable& services);

  // Adds a request, whose id must be new.
  RequestFlow& Add(const RequestInfo& info,
                   bool is_idempotent,
                   FlowPhase phase);

  // Marks the request to be checked by EraseDone().
  void MarkForCleanup(RequestId request);

  // Erases the marked requests that no event can concern any more.
  void EraseDone();

  // Returns the request, or null if it is unknown.
  RequestFlow* Find(RequestId request);
  // Return a request that must exist.
  RequestFlow& At(RequestId request) { return flows_.at(request); }
  const RequestFlow& At(RequestId request) const { return flows_.at(request); }

  size_t size() const { return flows_.size(); }

 private:
  ServiceTable& services_;
  std::unordered_map<RequestId, RequestFlow> flows_;
  std::vector<RequestId> cleanup_candidates_;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_FLOW_TABLE_P_H_
