#include "placement/learned_interference.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace papayadrift::placement {

namespace {

// Coefficients of a service: a constant, its own load, its load squared; then
// for each kind one independent of the load and one for the load squared.
// Harmful kinds run mostly next to lightly loaded services; a linear fit to
// those measurements would underestimate their effect at full load.
constexpr uint32_t kOwnCoefficients = 3;
constexpr uint32_t kCoefficientsPerKind = 2;
// Kinds beyond this many share the last one's coefficients.
constexpr uint32_t kMaximumKinds = 64;
constexpr CoefficientPrior kConstantPrior = {0.5, 0.3};
constexpr CoefficientPrior kLoadPrior = {0.1, 0.3};
constexpr CoefficientPrior kKindPrior = {0.05, 0.15};
constexpr CoefficientPrior kKindTimesLoadSquaredPrior = {0.4, 0.8};
// Approximate relative error of a measured p99.
constexpr double kRelativeNoise = 0.08;
constexpr double kMaximumPressure = 20.0;
// A coefficient counts as learned below this fraction of the prior's deviation.
constexpr double kLearnedDeviation = 0.8;

uint32_t Slot(KindNumber kind) {
  return std::min(static_cast<uint32_t>(kind), kMaximumKinds - 1);
}

Features FeaturesOf(double load, std::span<const KindLoad> neighbours) {
  Features features;
  features.reserve(kOwnCoefficients + kCoefficientsPerKind * neighbours.size());
  features = {{0, 1.0}, {1, load}, {2, load * load}};
  for (const KindLoad& it : neighbours) {
    const uint32_t first =
        kOwnCoefficients + kCoefficientsPerKind * Slot(it.kind);
    features.push_back({first, it.share});
    features.push_back({first + 1, it.share * load * load});
  }
  std::ranges::sort(features, {}, &Feature::coefficient);
  return features;
}

const CoefficientPrior& PriorOf(uint32_t coefficient) {
  if (coefficient == 0) {
    return kConstantPrior;
  }
  if (coefficient < kOwnCoefficients) {
    return kLoadPrior;
  }
  const bool grows =
      (coefficient - kOwnCoefficients) % kCoefficientsPerKind == 1;
  return grows ? kKindTimesLoadSquaredPrior : kKindPrior;
}

void AddCoefficientsUpTo(BayesianLinearModel& model, uint32_t highest) {
  while (model.size() <= highest) {
    model.AddCoefficient(PriorOf(model.size()));
  }
}

// Returns nullopt for an invalid coefficient or one that several kinds share.
std::optional<uint32_t> NumberOf(const LearnedCoefficient& it) {
  if (!it.neighbour) {
    return it.power < kOwnCoefficients ? std::optional(it.power) : std::nullopt;
  }
  const uint32_t slot = Slot(*it.neighbour);
  if (it.power >= kCoefficientsPerKind || slot + 1 == kMaximumKinds) {
    return std::nullopt;
  }
  return kOwnCoefficients + kCoefficientsPerKind * slot + it.power;
}

LearnedCoefficient CoefficientOf(const BayesianLinearModel& model,
                                 uint32_t number) {
  LearnedCoefficient learned;
  learned.mean = model.Mean({{number, 1}});
  learned.deviation = std::sqrt(model.Variance({{number, 1}}));
  learned.power = number;
  if (number >= kOwnCoefficients) {
    const uint32_t offset = number - kOwnCoefficients;
    learned.neighbour = KindNumber{offset / kCoefficientsPerKind};
    learned.power = offset % kCoefficientsPerKind;
  }
  return learned;
}

}  // namespace

void LearnedInterference::Introduce(KindNumber /*number*/,
                                    const KindId& /*kind*/) {}

void LearnedInterference::Observe(const ServiceId& service,
                                  double load,
                                  std::span<const KindLoad> neighbours,
                                  double pressure) {
  if (!std::isfinite(pressure) || pressure <= 0 ||
      pressure > kMaximumPressure) {
    return;
  }
  const Features features = FeaturesOf(load, neighbours);
  BayesianLinearModel& model = models_[service];
  AddCoefficientsUpTo(model, features.back().coefficient);
  model.Observe(features, pressure, kRelativeNoise * pressure);
}

Pressure LearnedInterference::Expect(
    const ServiceId& service,
    double load,
    std::span<const KindLoad> neighbours) const {
  Features features = FeaturesOf(load, neighbours);
  const auto it = models_.find(service);
  const uint32_t size = it == models_.end() ? 0 : it->second.size();
  const auto unknown =
      std::ranges::lower_bound(features, size, {}, &Feature::coefficient);
  double mean = 0;
  double variance = 0;
  for (auto f = unknown; f != features.end(); ++f) {
    const CoefficientPrior& prior = PriorOf(f->coefficient);
    mean += prior.mean * f->amount;
    variance += std::pow(prior.deviation * f->amount, 2);
  }
  features.erase(unknown, features.end());
  if (size > 0) {
    mean += it->second.Mean(features);
    variance += it->second.Variance(features);
  }
  return {std::max(0.0, mean), std::sqrt(variance)};
}

void LearnedInterference::Import(const LearnedService& noted) {
  BayesianLinearModel& model = models_[noted.service];
  for (const LearnedCoefficient& it : noted.coefficients) {
    if (const auto number = NumberOf(it)) {
      AddCoefficientsUpTo(model, *number);
      model.Import(*number, it.mean, it.deviation);
    }
  }
}

std::vector<LearnedService> LearnedInterference::Learned() const {
  std::vector<LearnedService> services;
  for (const auto& [id, model] : models_) {
    LearnedService service = {id, {}};
    for (uint32_t i = 0; i < model.size(); ++i) {
      const LearnedCoefficient learned = CoefficientOf(model, i);
      const bool is_learned =
          learned.deviation < kLearnedDeviation * model.prior(i).deviation;
      if (is_learned && NumberOf(learned)) {
        service.coefficients.push_back(learned);
      }
    }
    services.push_back(std::move(service));
  }
  return services;
}

}  // namespace papayadrift::placement
