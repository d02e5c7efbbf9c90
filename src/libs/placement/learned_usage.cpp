#include "placement/learned_usage.h"

#include <algorithm>
#include <cmath>

namespace papayadrift::placement {

namespace {

// Limit of the report count, which sets the rate of forgetting.
constexpr double kMaximumCount = 300.0;
constexpr double kHighestDecay = 0.9995;
// Margins in standard deviations. A shortage of processors is corrected at once
// by new grants; a shortage of memory kills the task.
constexpr double kProcessorMargin = 0.25;
constexpr double kMemoryMargin = 3.0;
constexpr double kMemoryHeadroom = 1.08;
// With few reports, a deviation of this fraction of the mean, divided by the
// square root of their number, is added in quadrature.
constexpr double kUnknownDeviation = 0.8;
constexpr double kReportsToTrust = 6.0;
constexpr double kSaturated = 0.97;
// Up to half of the tasks may use their full grant, which keeps processors busy
// at little cost to the others. Above that fraction grants grow, by up to
// kSaturatedGrowth when all tasks do.
constexpr double kUsualSaturated = 0.5;
constexpr double kSaturatedGrowth = 1.5;
constexpr double kSaturationStep = 0.05;
constexpr double kCredibleOverGrant = 1.05;
constexpr double kMaximumLogRatio = 5.0;
// Fraction of the recorded report count that an import is given, so that
// knowledge that is passed on without new reports decays.
constexpr double kImportedReports = 0.5;
// Maximum report count of an import, so that own reports soon outweigh a wrong
// record.
constexpr double kMaximumImportedReports = 30;
constexpr double kMaximumAmount = 1e9;
constexpr double kPermille = 1000;

double AsDouble(int64_t amount) {
  return static_cast<double>(amount);
}

bool IsCredible(const UsageSample& sample) {
  return IsNonNegative(sample.used) &&
         AsDouble(sample.used.millicores) <=
             kCredibleOverGrant * AsDouble(sample.grant.millicores) &&
         AsDouble(sample.used.memory_mebibytes) <=
             kCredibleOverGrant * AsDouble(sample.grant.memory_mebibytes);
}

double WithMargin(const RunningStatistics& statistics, double margin) {
  const double unknown =
      kUnknownDeviation * statistics.mean() / std::sqrt(statistics.count());
  return statistics.mean() +
         margin * std::hypot(statistics.Deviation(), unknown);
}

// Interpolates from the declared to the learned amount by report count.
double Blend(double declared, double learned, double count) {
  const double trust = std::min(1.0, count / kReportsToTrust);
  return declared * (1 - trust) + learned * trust;
}

}  // namespace

void RunningStatistics::Add(double value) {
  count_ = std::min(count_ + 1, kMaximumCount);
  const double step = value - mean_;
  mean_ += step / count_;
  variance_ += (step * (value - mean_) - variance_) / count_;
  highest_ = std::max(value, highest_ * kHighestDecay);
}

bool RunningStatistics::Import(const records::LearnedQuantity& noted,
                               double unit) {
  const double count =
      std::min(kImportedReports * static_cast<double>(noted.reports),
               kMaximumImportedReports);
  if (count <= count_) {
    return false;
  }
  const auto amount = [unit](int64_t parts) {
    return std::clamp(AsDouble(parts) / unit, -kMaximumAmount, kMaximumAmount);
  };
  count_ = count;
  mean_ = amount(noted.mean);
  variance_ = std::pow(amount(noted.deviation), 2);
  highest_ = std::max(mean_, amount(noted.highest));
  return true;
}

records::LearnedQuantity RunningStatistics::Export(double unit) const {
  return {static_cast<uint32_t>(count_), std::llround(mean_ * unit),
          std::llround(Deviation() * unit), std::llround(highest_ * unit)};
}

double RunningStatistics::Deviation() const {
  return std::sqrt(std::max(0.0, variance_));
}

void LearnedUsage::Introduce(KindNumber number, const KindId& /*kind*/) {
  estimates_.try_emplace(number);
}

void LearnedUsage::Observe(const UsageSample& sample) {
  if (!IsCredible(sample)) {
    return;
  }
  UsageEstimate& estimate = estimates_[sample.shape.kind];
  const double millicores = AsDouble(sample.used.millicores);
  const bool is_saturated =
      millicores >= kSaturated * AsDouble(sample.grant.millicores);
  estimate.saturated +=
      kSaturationStep * ((is_saturated ? 1.0 : 0.0) - estimate.saturated);
  estimate.millicores.Add(millicores);
  estimate.memory.Add(AsDouble(sample.used.memory_mebibytes));
}

void LearnedUsage::ObserveRun(const TaskShape& shape, microseconds run) {
  if (shape.declared_run.count() <= 0 || run.count() <= 0) {
    return;
  }
  const double ratio =
      AsDouble(run.count()) / AsDouble(shape.declared_run.count());
  estimates_[shape.kind].run_ratio.Add(
      std::clamp(std::log(ratio), -kMaximumLogRatio, kMaximumLogRatio));
}

void LearnedUsage::ObserveFailure(const TaskShape& shape,
                                  const Resources& grant) {
  UsageEstimate& estimate = estimates_[shape.kind];
  const double used = estimate.memory.highest();
  // The grant was over twice any reported use: memory was not the cause.
  if (estimate.memory.count() >= kReportsToTrust &&
      AsDouble(grant.memory_mebibytes) > 2 * used) {
    return;
  }
  estimate.least_memory =
      std::max(estimate.least_memory, 2.0 * AsDouble(grant.memory_mebibytes));
}

Resources LearnedUsage::GrantFor(const TaskShape& shape) const {
  Resources grant = shape.declared;
  const auto it = estimates_.find(shape.kind);
  if (it == estimates_.end()) {
    return grant;
  }
  const UsageEstimate& estimate = it->second;
  const double count = estimate.millicores.count();
  if (count > 0) {
    const double memory = std::max(kMemoryHeadroom * estimate.memory.highest(),
                                   WithMargin(estimate.memory, kMemoryMargin));
    const double excess = std::max(0.0, estimate.saturated - kUsualSaturated) /
                          (1 - kUsualSaturated);
    const double growth = 1 + kSaturatedGrowth * excess * excess;
    grant.millicores = std::llround(
        growth * Blend(AsDouble(grant.millicores),
                       WithMargin(estimate.millicores, kProcessorMargin),
                       count));
    grant.memory_mebibytes =
        std::llround(Blend(AsDouble(grant.memory_mebibytes), memory, count));
  }
  grant.memory_mebibytes =
      std::max(grant.memory_mebibytes,
               static_cast<int64_t>(std::llround(estimate.least_memory)));
  return grant;
}

double LearnedUsage::ExpectedMillicores(const TaskShape& shape) const {
  const auto it = estimates_.find(shape.kind);
  const double declared = AsDouble(shape.declared.millicores);
  if (it == estimates_.end()) {
    return declared;
  }
  const RunningStatistics& statistics = it->second.millicores;
  return Blend(declared, statistics.mean(), statistics.count());
}

microseconds LearnedUsage::ExpectedRun(const TaskShape& shape) const {
  const auto it = estimates_.find(shape.kind);
  if (it == estimates_.end() || it->second.run_ratio.count() == 0) {
    return shape.declared_run;
  }
  // The mean may come from another process, so it is not trusted.
  const double ratio = std::exp(std::clamp(
      it->second.run_ratio.mean(), -kMaximumLogRatio, kMaximumLogRatio));
  return microseconds(
      std::llround(ratio * AsDouble(shape.declared_run.count())));
}

void LearnedUsage::Import(KindNumber number,
                          const records::KindKnowledge& noted) {
  UsageEstimate& estimate = estimates_[number];
  estimate.run_ratio.Import(noted.run_ratio, kPermille);
  if (estimate.millicores.Import(noted.millicores, 1)) {
    estimate.saturated =
        std::clamp(noted.saturated_permille / kPermille, 0.0, 1.0);
  }
  if (estimate.memory.Import(noted.memory_mebibytes, 1)) {
    estimate.least_memory = std::max(
        estimate.least_memory,
        std::min(AsDouble(noted.least_memory_mebibytes), kMaximumAmount));
  }
}

std::optional<records::KindKnowledge> LearnedUsage::Learned(
    KindNumber number) const {
  const auto it = estimates_.find(number);
  if (it == estimates_.end()) {
    return std::nullopt;
  }
  const UsageEstimate& estimate = it->second;
  return records::KindKnowledge{
      KindId(),
      estimate.millicores.Export(1),
      estimate.memory.Export(1),
      estimate.run_ratio.Export(kPermille),
      static_cast<int32_t>(std::lround(estimate.saturated * kPermille)),
      std::llround(estimate.least_memory)};
}

}  // namespace papayadrift::placement
