#ifndef PAPAYADRIFT_BENCHMARKS_PLACEMENT_ORACLE_H_
#define PAPAYADRIFT_BENCHMARKS_PLACEMENT_ORACLE_H_

#include <map>

#include "customer_workload.h"
#include "placement/interference_model.h"
#include "placement/usage_model.h"

namespace papayadrift::placement {

// Usage model that knows the actual usage of each kind.
class TrueUsage : public UsageModel {
 public:
  explicit TrueUsage(const CustomerWorkload& workload);

  void Introduce(KindNumber number, const KindId& kind) override;
  void Observe(const UsageSample& sample) override;
  void ObserveRun(const TaskShape& shape, microseconds run) override;
  void ObserveFailure(const TaskShape& shape, const Resources& grant) override;
  Resources GrantFor(const TaskShape& shape) const override;
  double ExpectedMillicores(const TaskShape& shape) const override;
  microseconds ExpectedRun(const TaskShape& shape) const override;

 private:
  const CustomerWorkload& workload_;
  std::map<KindNumber, const KindProfile*> kinds_;
};

// Interference model that knows the actual interference.
class TrueInterference : public InterferenceModel {
 public:
  // `peak_load` is the load that counts as 1 when it is measured.
  TrueInterference(const CustomerWorkload& workload, double peak_load);

  void Introduce(KindNumber number, const KindId& kind) override;
  void Observe(const ServiceId& service,
               double load,
               std::span<const KindLoad> neighbours,
               double pressure) override;
  Pressure Expect(const ServiceId& service,
                  double load,
                  std::span<const KindLoad> neighbours) const override;

 private:
  const CustomerWorkload& workload_;
  const double peak_load_;
  std::map<KindNumber, double> harms_;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_BENCHMARKS_PLACEMENT_ORACLE_H_
