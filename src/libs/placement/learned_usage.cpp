#include "placement/learned_usage.h"

#include <algorithm>
#include <cmath>

namespace papayadrift::placement {

namespace {

// Reports of about this many are remembered.
constexpr double kMemory = 300.0;
constexpr double kHighestSinks = 0.9995;
// Margins in standard deviations. Processors are shared out again at once
// when they run short; memory that runs short kills the task.
constexpr double kProcessorMargin = 0.25;
constexpr double kMemoryMargin = 3.0;
constexpr double kMemoryHeadroom = 1.08;
// While reports are few, the spread is taken to be at least this part of the
// mean, divided by the root of their number.
constexpr double kUnknownSpread = 0.8;
constexpr double kReportsToTrust = 6.0;
constexpr double kSaturated = 0.97;
// Half of the tasks may use all of their grant: then processors are hardly
// ever idle, and the others lose little. Where more do, grants grow; where all
// do, by this part.
constexpr double kUsualSaturated = 0.5;
constexpr double kSaturatedGrowth = 1.5;
constexpr double kSaturationStep = 0.05;
constexpr double kWrongAbove = 1.05;
constexpr double kMaximumLogRatio = 5.0;
// A note counts for this part of the reports that it stands for, so that what
// is handed on and never confirmed fades.
constexpr double kKeptReports = 0.5;
// And for no more than this many, so that a wrong one is soon outgrown.
constexpr double kMostKeptReports = 30;
constexpr double kMaximumAmount = 1e9;
constexpr double kPermille = 1000;

double AsDouble(int64_t amount) {
  return static_cast<double>(amount);
}

bool IsCredible(const UsageSample& sample) {
  return IsNonNegative(sample.used) &&
         AsDouble(sample.used.millicores) <=
             kWrongAbove * AsDouble(sample.grant.millicores) &&
         AsDouble(sample.used.memory_mebibytes) <=
             kWrongAbove * AsDouble(sample.grant.memory_mebibytes);
}

double WithMargin(const Spread& spread, double margin) {
  const double unknown =
      kUnknownSpread * spread.mean() / std::sqrt(spread.count());
  return spread.mean() + margin * std::hypot(spread.Deviation(), unknown);
}

// Goes from the declared amount to the learned one as reports come in.
double Blend(double declared, double learned, double count) {
  const double trust = std::min(1.0, count / kReportsToTrust);
  return declared * (1 - trust) + learned * trust;
}

}  // namespace

void Spread::Add(double value) {
  count_ = std::min(count_ + 1, kMemory);
  const double step = value - mean_;
  mean_ += step / count_;
  variance_ += (step * (value - mean_) - variance_) / count_;
  highest_ = std::max(value, highest_ * kHighestSinks);
}

bool Spread::TakeUp(const records::LearnedQuantity& noted, double unit) {
  const double count = std::min(
      kKeptReports * static_cast<double>(noted.reports), kMostKeptReports);
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

records::LearnedQuantity Spread::Noted(double unit) const {
  return {static_cast<uint32_t>(count_), std::llround(mean_ * unit),
          std::llround(Deviation() * unit), std::llround(highest_ * unit)};
}

double Spread::Deviation() const {
  return std::sqrt(std::max(0.0, variance_));
}

void LearnedUsage::Introduce(KindNumber number, const KindId& /*kind*/) {
  beliefs_.try_emplace(number);
}

void LearnedUsage::Observe(const UsageSample& sample) {
  if (!IsCredible(sample)) {
    return;
  }
  Belief& belief = beliefs_[sample.shape.kind];
  const double millicores = AsDouble(sample.used.millicores);
  const bool is_saturated =
      millicores >= kSaturated * AsDouble(sample.grant.millicores);
  belief.saturated +=
      kSaturationStep * ((is_saturated ? 1.0 : 0.0) - belief.saturated);
  belief.millicores.Add(millicores);
  belief.memory.Add(AsDouble(sample.used.memory_mebibytes));
}

void LearnedUsage::ObserveRun(const TaskShape& shape, microseconds run) {
  if (shape.declared_run.count() <= 0 || run.count() <= 0) {
    return;
  }
  const double ratio =
      AsDouble(run.count()) / AsDouble(shape.declared_run.count());
  beliefs_[shape.kind].run_ratio.Add(
      std::clamp(std::log(ratio), -kMaximumLogRatio, kMaximumLogRatio));
}

void LearnedUsage::ObserveFailure(const TaskShape& shape,
                                  const Resources& grant) {
  Belief& belief = beliefs_[shape.kind];
  const double used = belief.memory.highest();
  // Enough was granted for all that was ever seen: memory is not to blame.
  if (belief.memory.count() >= kReportsToTrust &&
      AsDouble(grant.memory_mebibytes) > 2 * used) {
    return;
  }
  belief.least_memory =
      std::max(belief.least_memory, 2.0 * AsDouble(grant.memory_mebibytes));
}

Resources LearnedUsage::GrantFor(const TaskShape& shape) const {
  Resources grant = shape.declared;
  const auto it = beliefs_.find(shape.kind);
  if (it == beliefs_.end()) {
    return grant;
  }
  const Belief& belief = it->second;
  const double count = belief.millicores.count();
  if (count > 0) {
    const double memory = std::max(kMemoryHeadroom * belief.memory.highest(),
                                   WithMargin(belief.memory, kMemoryMargin));
    const double excess = std::max(0.0, belief.saturated - kUsualSaturated) /
                          (1 - kUsualSaturated);
    const double growth = 1 + kSaturatedGrowth * excess * excess;
    grant.millicores = std::llround(
        growth * Blend(AsDouble(grant.millicores),
                       WithMargin(belief.millicores, kProcessorMargin), count));
    grant.memory_mebibytes =
        std::llround(Blend(AsDouble(grant.memory_mebibytes), memory, count));
  }
  grant.memory_mebibytes =
      std::max(grant.memory_mebibytes,
               static_cast<int64_t>(std::llround(belief.least_memory)));
  return grant;
}

double LearnedUsage::ExpectedMillicores(const TaskShape& shape) const {
  const auto it = beliefs_.find(shape.kind);
  const double declared = AsDouble(shape.declared.millicores);
  if (it == beliefs_.end()) {
    return declared;
  }
  const Spread& spread = it->second.millicores;
  return Blend(declared, spread.mean(), spread.count());
}

microseconds LearnedUsage::ExpectedRun(const TaskShape& shape) const {
  const auto it = beliefs_.find(shape.kind);
  if (it == beliefs_.end() || it->second.run_ratio.count() == 0) {
    return shape.declared_run;
  }
  // What another process noted of it may be anything.
  const double ratio = std::exp(std::clamp(
      it->second.run_ratio.mean(), -kMaximumLogRatio, kMaximumLogRatio));
  return microseconds(
      std::llround(ratio * AsDouble(shape.declared_run.count())));
}

void LearnedUsage::TakeUp(KindNumber number,
                          const records::KindKnowledge& noted) {
  Belief& belief = beliefs_[number];
  belief.run_ratio.TakeUp(noted.run_ratio, kPermille);
  if (belief.millicores.TakeUp(noted.millicores, 1)) {
    belief.saturated =
        std::clamp(noted.saturated_permille / kPermille, 0.0, 1.0);
  }
  if (belief.memory.TakeUp(noted.memory_mebibytes, 1)) {
    belief.least_memory = std::max(
        belief.least_memory,
        std::min(AsDouble(noted.least_memory_mebibytes), kMaximumAmount));
  }
}

std::optional<records::KindKnowledge> LearnedUsage::Learned(
    KindNumber number) const {
  const auto it = beliefs_.find(number);
  if (it == beliefs_.end()) {
    return std::nullopt;
  }
  const Belief& belief = it->second;
  return records::KindKnowledge{
      KindId(),
      belief.millicores.Noted(1),
      belief.memory.Noted(1),
      belief.run_ratio.Noted(kPermille),
      static_cast<int32_t>(std::lround(belief.saturated * kPermille)),
      std::llround(belief.least_memory)};
}

}  // namespace papayadrift::placement
