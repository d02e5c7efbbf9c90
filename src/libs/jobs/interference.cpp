#include "jobs/interference.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "base/lookup.h"

namespace papayadrift::jobs {
namespace {

// Before any evidence a pair is taken to disturb somewhat: about half of all
// pairs do, by a weight of six to fourteen.
constexpr placement::CoefficientPrior kPrior{3.0, 6.0};
// Deviations added to a weight that is to be on the safe side.
constexpr double kCaution = 0.25;
// Deviation of the change of slack over half a second: of waves of the task's
// own load, and as a part of the slack, for tails are rough figures.
constexpr double kWaveNoise = 0.25;
constexpr double kRelativeNoise = 0.1;
// The gauges cover the last half second; samples nearer to each other overlap,
// and over a longer time the task's own load moves.
constexpr milliseconds kShortestGap(450);
constexpr milliseconds kLongestGap(1500);
// Period at which pairs are judged by what other pairs have shown.
constexpr milliseconds kFitPeriod(1000);
// Deviation of a weight from what the other pairs make of it.
constexpr double kPredictionDeviation = 2.5;
// Less evidence than this, as a precision, is none.
constexpr double kLeastPrecision = 0.005;
// Changes of use below this share say nothing beside the noise.
constexpr double kLeastChange = 0.01;

}  // namespace

uint32_t Interference::Belief::CoefficientOf(const std::string& filler_image) {
  const auto [it, is_new] = coefficients.try_emplace(
      filler_image, static_cast<uint32_t>(coefficients.size()));
  if (is_new) {
    weights.AddCoefficient(kPrior);
  }
  return it->second;
}

void Interference::Observe(const TaskKey& serving,
                           const std::string& serving_image,
                           double slack,
                           const std::map<std::string, double>& uses,
                           Instant at) {
  Sample sample{slack, uses, at};
  const auto [it, is_first] = samples_.try_emplace(serving, sample);
  if (is_first || at - it->second.at < kShortestGap) {
    return;
  }
  if (at - fitted_at_ >= kFitPeriod) {
    fitted_at_ = at;
    FitFactors();
  }
  const Sample previous = std::exchange(it->second, sample);
  if (at - previous.at > kLongestGap) {
    return;
  }
  std::map<std::string, double> changes = sample.shares;
  for (const auto& [image, share] : previous.shares) {
    changes[image] -= share;
  }
  std::erase_if(changes, [](const auto& change) {
    return std::abs(change.second) < kLeastChange;
  });
  if (changes.empty()) {
    return;
  }
  Belief& belief = beliefs_[serving_image];
  placement::Features features;
  for (const auto& [image, change] : changes) {
    features.push_back({belief.CoefficientOf(image), -change});
  }
  std::ranges::sort(features, {}, &placement::Feature::coefficient);
  belief.weights.Observe(
      features, sample.slack - previous.slack,
      kWaveNoise + kRelativeNoise * std::max(sample.slack, previous.slack));
}

double Interference::Weight(const std::string& serving_image,
                            const std::string& filler_image) const {
  return WeightWith(serving_image, filler_image, 0.0);
}

double Interference::CautiousWeight(const std::string& serving_image,
                                    const std::string& filler_image) const {
  return WeightWith(serving_image, filler_image, kCaution);
}

std::optional<Interference::Estimate> Interference::EvidenceOf(
    const Belief& belief,
    uint32_t coefficient) {
  constexpr double kPriorPrecision = 1 / (kPrior.deviation * kPrior.deviation);
  const placement::Features alone{{coefficient, 1.0}};
  const double whole = 1 / belief.weights.Variance(alone);
  const double precision = whole - kPriorPrecision;
  if (precision < kLeastPrecision) {
    return std::nullopt;
  }
  return Estimate{
      (belief.weights.Mean(alone) * whole - kPrior.mean * kPriorPrecision) /
          precision,
      1 / precision};
}

Interference::Estimate Interference::EstimateOf(const Belief& belief,
                                                uint32_t coefficient) {
  const std::optional<double> prediction =
      coefficient < belief.predictions.size() ? belief.predictions[coefficient]
                                              : std::nullopt;
  if (!prediction) {
    const placement::Features alone{{coefficient, 1.0}};
    return {belief.weights.Mean(alone), belief.weights.Variance(alone)};
  }
  constexpr double kVariance = kPredictionDeviation * kPredictionDeviation;
  const std::optional<Estimate> evidence = EvidenceOf(belief, coefficient);
  if (!evidence) {
    return {*prediction, kVariance};
  }
  const double precision = 1 / kVariance + 1 / evidence->variance;
  return {(*prediction / kVariance + evidence->mean / evidence->variance) /
              precision,
          1 / precision};
}

void Interference::FitFactors() {
  std::vector<PairEvidence> all;
  std::set<std::string> fillers;
  for (const auto& [serving, belief] : beliefs_) {
    for (const auto& [filler, coefficient] : belief.coefficients) {
      fillers.insert(filler);
      if (const auto evidence = EvidenceOf(belief, coefficient)) {
        all.push_back(
            {serving, filler, evidence->mean, 1 / evidence->variance});
      }
    }
  }
  factors_.Fit(all);
  for (auto& [serving, belief] : beliefs_) {
    for (const std::string& filler : fillers) {
      const uint32_t coefficient = belief.CoefficientOf(filler);
      belief.predictions.resize(belief.weights.size());
      belief.predictions[coefficient] = factors_.Predict(serving, filler);
    }
  }
}

double Interference::WeightWith(const std::string& serving_image,
                                const std::string& filler_image,
                                double deviations) const {
  const Belief* belief = FindOrNull(beliefs_, serving_image);
  const uint32_t* coefficient =
      belief == nullptr ? nullptr
                        : FindOrNull(belief->coefficients, filler_image);
  if (coefficient == nullptr) {
    return kPrior.mean + deviations * kPrior.deviation;
  }
  const Estimate estimate = EstimateOf(*belief, *coefficient);
  return std::max(0.0,
                  estimate.mean + deviations * std::sqrt(estimate.variance));
}

std::vector<LearnedWeight> Interference::Weights() const {
  std::vector<LearnedWeight> weights;
  for (const auto& [serving, belief] : beliefs_) {
    for (const auto& [filler, coefficient] : belief.coefficients) {
      const placement::Features alone{{coefficient, 1.0}};
      weights.push_back({serving, filler, belief.weights.Mean(alone),
                         std::sqrt(belief.weights.Variance(alone))});
    }
  }
  return weights;
}

void Interference::TakeUp(const std::vector<LearnedWeight>& weights) {
  for (const LearnedWeight& it : weights) {
    Belief& belief = beliefs_[it.serving_image];
    const uint32_t coefficient = belief.CoefficientOf(it.filler_image);
    belief.weights.Import(coefficient, it.mean, it.deviation);
  }
}

}  // namespace papayadrift::jobs
