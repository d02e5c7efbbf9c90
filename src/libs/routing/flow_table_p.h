#ifndef PAPAYADRIFT_ROUTING_FLOW_TABLE_P_H_
#define PAPAYADRIFT_ROUTING_FLOW_TABLE_P_H_

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "routing/request_flow.h"
#include "routing/service_table_p.h"

namespace papayadrift::routing {

// The requests that are known, until nothing more can happen to them.
class FlowTable {
 public:
  explicit FlowTable(ServiceTable& services);

  // Adds a request that was not known before.
  RequestFlow& Add(const RequestInfo& info,
                   bool is_idempotent,
                   FlowPhase phase);

  // Has EraseDone() look at the request.
  void MarkForCleanup(RequestId request);

  // Forgets those marked to which nothing more can happen.
  void EraseDone();

  // Returns the request, or null.
  RequestFlow* Find(RequestId request);
  // Return a request that is certainly known.
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
