#include "placement/declared_usage.h"

#include <algorithm>

namespace papayadrift::placement {

void DeclaredUsage::Introduce(KindNumber /*number*/, const KindId& /*kind*/) {}

void DeclaredUsage::Observe(const UsageSample& /*sample*/) {}

void DeclaredUsage::ObserveRun(const TaskShape& /*shape*/,
                               microseconds /*run*/) {}

void DeclaredUsage::ObserveFailure(const TaskShape& shape,
                                   const Resources& grant) {
  int64_t& least = least_memory_[shape.kind];
  least = std::max(least, 2 * grant.memory_mebibytes);
}

Resources DeclaredUsage::GrantFor(const TaskShape& shape) const {
  Resources grant = shape.declared;
  const auto it = least_memory_.find(shape.kind);
  if (it != least_memory_.end()) {
    grant.memory_mebibytes = std::max(grant.memory_mebibytes, it->second);
  }
  return grant;
}

double DeclaredUsage::ExpectedMillicores(const TaskShape& shape) const {
  return static_cast<double>(shape.declared.millicores);
}

microseconds DeclaredUsage::ExpectedRun(const TaskShape& shape) const {
  return shape.declared_run;
}

}  // namespace papayadrift::placement
