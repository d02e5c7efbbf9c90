#include "oracle.h"

#include <algorithm>
#include <cmath>

#include "measures.h"

namespace papayadrift::placement {

namespace {

// Grants for tasks that differ within a kind: half of them use all their
// processors, and nearly all have enough memory.
constexpr double kProcessorPart = 1.0;
constexpr double kMemoryPart = 2.0;
constexpr double kMillicoresPerCore = 1000;

}  // namespace

TrueUsage::TrueUsage(const CustomerWorkload& workload) : workload_(workload) {}

void TrueUsage::Introduce(KindNumber number, const KindId& kind) {
  kinds_[number] =
      &*std::ranges::find(workload_.kinds, kind, &KindProfile::kind);
}

void TrueUsage::Observe(const UsageSample& /*sample*/) {}

void TrueUsage::ObserveRun(const TaskShape& /*shape*/, microseconds /*run*/) {}

void TrueUsage::ObserveFailure(const TaskShape& /*shape*/,
                               const Resources& /*grant*/) {}

Resources TrueUsage::GrantFor(const TaskShape& shape) const {
  const KindProfile& kind = *kinds_.at(shape.kind);
  return {std::llround(kProcessorPart * kMillicoresPerCore * kind.cores),
          std::llround(kMemoryPart * kind.memory_mebibytes),
          shape.declared.accelerators};
}

double TrueUsage::ExpectedMillicores(const TaskShape& shape) const {
  return kMillicoresPerCore * kinds_.at(shape.kind)->cores;
}

microseconds TrueUsage::ExpectedRun(const TaskShape& shape) const {
  return microseconds(std::llround(1e6 * kinds_.at(shape.kind)->run_seconds));
}

TrueInterference::TrueInterference(const CustomerWorkload& workload,
                                   double peak_load)
    : workload_(workload), peak_load_(peak_load) {}

void TrueInterference::Introduce(KindNumber number, const KindId& kind) {
  harms_[number] =
      std::ranges::find(workload_.kinds, kind, &KindProfile::kind)->harm;
}

void TrueInterference::Observe(const ServiceId& /*service*/,
                               double /*load*/,
                               std::span<const KindLoad> /*neighbours*/,
                               double /*pressure*/) {}

Pressure TrueInterference::Expect(const ServiceId& /*service*/,
                                  double load,
                                  std::span<const KindLoad> neighbours) const {
  double harm = 0;
  for (const KindLoad& it : neighbours) {
    harm += harms_.at(it.kind) * it.share;
  }
  const double true_load = load * peak_load_;
  const double tail = TailOf(true_load, ExtraSlowdown(harm, true_load));
  return {tail / kTargetSlowdown, 0};
}

}  // namespace papayadrift::placement
