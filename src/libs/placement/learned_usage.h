#ifndef PAPAYADRIFT_PLACEMENT_LEARNED_USAGE_H_
#define PAPAYADRIFT_PLACEMENT_LEARNED_USAGE_H_

#include <unordered_map>

#include "placement/usage_model.h"

namespace papayadrift::placement {

// Running mean and variance of a quantity, with exponential forgetting.
class RunningStatistics {
 public:
  void Add(double value);
  // Replaces the statistics by recorded ones, where `unit` represents 1, unless
  // those count for fewer reports. Returns whether it did.
  bool Import(const records::LearnedQuantity& noted, double unit);
  records::LearnedQuantity Export(double unit) const;

  double mean() const { return mean_; }
  double count() const { return count_; }
  double highest() const { return highest_; }
  double Deviation() const;

 private:
  double count_ = 0;
  double mean_ = 0;
  double variance_ = 0;
  double highest_ = 0;  // Decays slowly.
};

// Corrects declared sizes by usage reports, with a margin that shrinks with the
// number of reports. Reports above the enforced grant are wrong and ignored;
// reports at the grant are only a lower bound of the demand.
class LearnedUsage : public UsageModel {
 public:
  void Introduce(KindNumber number, const KindId& kind) override;
  void Observe(const UsageSample& sample) override;
  void ObserveRun(const TaskShape& shape, microseconds run) override;
  void ObserveFailure(const TaskShape& shape, const Resources& grant) override;
  Resources GrantFor(const TaskShape& shape) const override;
  double ExpectedMillicores(const TaskShape& shape) const override;
  microseconds ExpectedRun(const TaskShape& shape) const override;
  void Import(KindNumber number, const records::KindKnowledge& noted) override;
  std::optional<records::KindKnowledge> Learned(
      KindNumber number) const override;

 private:
  struct UsageEstimate {
    RunningStatistics millicores;
    RunningStatistics memory;
    double saturated = 0;         // Fraction of recent reports at the grant.
    RunningStatistics run_ratio;  // Of the logarithm of run over declared run.
    double least_memory = 0;      // MiB; set by failures.
  };

  std::unordered_map<KindNumber, UsageEstimate> estimates_;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_LEARNED_USAGE_H_
