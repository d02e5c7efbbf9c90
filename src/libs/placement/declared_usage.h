#ifndef PAPAYADRIFT_PLACEMENT_DECLARED_USAGE_H_
#define PAPAYADRIFT_PLACEMENT_DECLARED_USAGE_H_

#include <unordered_map>

#include "placement/usage_model.h"

namespace papayadrift::placement {

// Trusts the declared sizes, except for memory after failed attempts.
class DeclaredUsage : public UsageModel {
 public:
  void Introduce(KindNumber number, const KindId& kind) override;
  void Observe(const UsageSample& sample) override;
  void ObserveRun(const TaskShape& shape, microseconds run) override;
  void ObserveFailure(const TaskShape& shape, const Resources& grant) override;
  Resources GrantFor(const TaskShape& shape) const override;
  double ExpectedMillicores(const TaskShape& shape) const override;
  microseconds ExpectedRun(const TaskShape& shape) const override;

 private:
  std::unordered_map<KindNumber, int64_t> least_memory_;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_DECLARED_USAGE_H_
