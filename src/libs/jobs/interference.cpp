#include "jobs/interference.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <ranges>
#include <set>
#include <utility>

#include "base/lookup.h"

namespace papayadrift::jobs {
namespace {

// Without evidence a pair is assumed to interfere somewhat: about half of all
// pairs do, with a weight of six to fourteen.
constexpr placement::CoefficientPrior kPrior{3.0, 6.0};
// Standard deviations added to a conservative weight.
constexpr double kConservativeDeviations = 0.25;
// Standard deviation of the change of slack over half a second: an absolute
// part from changes of the task's own load, and a part relative to the slack,
// as measured tail latencies are noisy.
constexpr double kLoadNoise = 0.25;
constexpr double kRelativeNoise = 0.1;
// The gauges cover the last half second; samples nearer to each other overlap,
// and over a longer time the task's own load moves.
constexpr milliseconds kMinSampleGap(450);
constexpr milliseconds kMaxSampleGap(1500);
// The load of a step hardly changes in this time.
constexpr milliseconds kMaxSiblingGap(300);
// Period at which pairs are predicted from the evidence of other pairs.
constexpr milliseconds kFitPeriod(1000);
// Standard deviation of a weight from its prediction.
constexpr double kPredictionDeviation = 2.5;
// Evidence with a lower precision is ignored.
constexpr double kMinPrecision = 0.005;
// Changes of use below this share are lost in the noise.
constexpr double kMinShareChange = 0.01;
// Number of serving images that are kept: each job may name one of its own.
constexpr size_t kMaxServingImages = 500;

// Fillers with a lower weight need not be slowed, those with a higher one most
// of the time.
constexpr double kNoticeableWeight = 1.5;
constexpr double kFullWeight = 6.0;

double SensitivityFrom(double weight) {
  return std::clamp(
      (weight - kNoticeableWeight) / (kFullWeight - kNoticeableWeight), 0.0,
      1.0);
}

}  // namespace

uint32_t Interference::ServingModel::CoefficientOf(
    const std::string& filler_image) {
  const auto [it, is_new] = coefficients.try_emplace(
      filler_image, static_cast<uint32_t>(coefficients.size()));
  if (is_new) {
    weights.AddCoefficient(kPrior);
  }
  return it->second;
}

Interference::ServingModel& Interference::Use(
    const std::string& serving_image) {
  if (models_.size() >= kMaxServingImages && !models_.contains(serving_image)) {
    models_.erase(std::ranges::min_element(
        models_, {}, [](const auto& it) { return it.second.used; }));
  }
  ServingModel& model = models_[serving_image];
  model.used = ++uses_;
  return model;
}

void Interference::Observe(const TaskKey& serving,
                           const std::string& serving_image,
                           double slack,
                           const std::map<std::string, double>& uses,
                           Instant at) {
  const auto [it, is_first] = samples_.try_emplace(serving, Sample{});
  if (!is_first && at - it->second.at < kMinSampleGap) {
    return;
  }
  if (at - fitted_at_ >= kFitPeriod) {
    fitted_at_ = at;
    FitFactors();
  }
  const Sample previous = std::exchange(it->second, Sample{slack, uses, at});
  if (const Sample* sibling = NewestSibling(serving, uses, at)) {
    Compare(serving_image, it->second, *sibling);
  } else if (!is_first && at - previous.at <= kMaxSampleGap) {
    Compare(serving_image, it->second, previous);
  }
}

const Interference::Sample* Interference::NewestSibling(
    const TaskKey& serving,
    const std::map<std::string, double>& uses,
    Instant at) const {
  const Sample* newest = nullptr;
  const TaskKey step = StepOf(serving);
  for (auto it = samples_.lower_bound(step);
       it != samples_.end() && StepOf(it->first) == step; ++it) {
    if (at - it->second.at <= kMaxSiblingGap && it->second.shares != uses &&
        (newest == nullptr || it->second.at > newest->at)) {
      newest = &it->second;
    }
  }
  return newest;
}

void Interference::Compare(const std::string& serving_image,
                           const Sample& sample,
                           const Sample& other) {
  std::map<std::string, double> changes = sample.shares;
  for (const auto& [image, share] : other.shares) {
    changes[image] -= share;
  }
  std::erase_if(changes, [](const auto& change) {
    return std::abs(change.second) < kMinShareChange;
  });
  if (changes.empty()) {
    return;
  }
  ServingModel& model = Use(serving_image);
  placement::Features features;
  for (const auto& [image, change] : changes) {
    features.push_back({model.CoefficientOf(image), -change});
  }
  std::ranges::sort(features, {}, &placement::Feature::coefficient);
  model.weights.Observe(
      features, sample.slack - other.slack,
      kLoadNoise + kRelativeNoise * std::max(sample.slack, other.slack));
}

double Interference::Weight(const std::string& serving_image,
                            const std::string& filler_image) const {
  return WeightAbove(serving_image, filler_image, 0.0);
}

double Interference::ConservativeWeight(const std::string& serving_image,
                                        const std::string& filler_image) const {
  return WeightAbove(serving_image, filler_image, kConservativeDeviations);
}

bool Interference::HasEvidenceOf(const std::string& serving_image) const {
  const ServingModel* model = FindOrNull(models_, serving_image);
  return model != nullptr && !model->sensitivity.empty();
}

std::optional<Interference::Estimate> Interference::EvidenceOf(
    const ServingModel& model,
    uint32_t coefficient) {
  constexpr double kPriorPrecision = 1 / (kPrior.deviation * kPrior.deviation);
  const placement::Features alone{{coefficient, 1.0}};
  const double whole = 1 / model.weights.Variance(alone);
  const double precision = whole - kPriorPrecision;
  if (precision < kMinPrecision) {
    return std::nullopt;
  }
  return Estimate{
      (model.weights.Mean(alone) * whole - kPrior.mean * kPriorPrecision) /
          precision,
      1 / precision};
}

Interference::Estimate Interference::EstimateOf(const ServingModel& model,
                                                uint32_t coefficient) {
  const std::optional<double> prediction =
      coefficient < model.predictions.size() ? model.predictions[coefficient]
                                             : std::nullopt;
  if (!prediction) {
    const placement::Features alone{{coefficient, 1.0}};
    return {model.weights.Mean(alone), model.weights.Variance(alone)};
  }
  constexpr double kVariance = kPredictionDeviation * kPredictionDeviation;
  const std::optional<Estimate> evidence = EvidenceOf(model, coefficient);
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
  for (const auto& [serving, model] : models_) {
    for (const auto& [filler, coefficient] : model.coefficients) {
      fillers.insert(filler);
      if (const auto evidence = EvidenceOf(model, coefficient)) {
        all.push_back(
            {serving, filler, evidence->mean, 1 / evidence->variance});
      }
    }
  }
  factors_.Fit(all);
  for (auto& [serving, model] : models_) {
    for (const std::string& filler : fillers) {
      const uint32_t coefficient = model.CoefficientOf(filler);
      model.predictions.resize(model.weights.size());
      model.predictions[coefficient] = factors_.Predict(serving, filler);
    }
  }
  for (auto& [serving, model] : models_) {
    model.sensitivity.clear();
    std::ranges::transform(fillers, std::back_inserter(model.sensitivity),
                           [&, &serving = serving](const std::string& filler) {
                             return SensitivityFrom(Weight(serving, filler));
                           });
  }
  unknown_sensitivity_.assign(fillers.size(), SensitivityFrom(kPrior.mean));
}

const std::vector<double>& Interference::SensitivityOf(
    const std::string& serving_image) const {
  const ServingModel* model = FindOrNull(models_, serving_image);
  return model == nullptr || model->sensitivity.empty() ? unknown_sensitivity_
                                                        : model->sensitivity;
}

double Interference::WeightAbove(const std::string& serving_image,
                                 const std::string& filler_image,
                                 double deviations) const {
  const ServingModel* model = FindOrNull(models_, serving_image);
  const uint32_t* coefficient =
      model == nullptr ? nullptr
                       : FindOrNull(model->coefficients, filler_image);
  if (coefficient == nullptr) {
    return kPrior.mean + deviations * kPrior.deviation;
  }
  const Estimate estimate = EstimateOf(*model, *coefficient);
  return std::max(0.0,
                  estimate.mean + deviations * std::sqrt(estimate.variance));
}

std::vector<LearnedWeight> Interference::Weights() const {
  std::vector<const std::pair<const std::string, ServingModel>*> by_use;
  for (const auto& it : models_) {
    by_use.push_back(&it);
  }
  std::ranges::sort(by_use, std::ranges::greater(),
                    [](const auto* it) { return it->second.used; });
  std::vector<LearnedWeight> weights;
  for (const auto* it : by_use) {
    const auto& [serving, model] = *it;
    for (const auto& [filler, coefficient] : model.coefficients) {
      const placement::Features alone{{coefficient, 1.0}};
      weights.push_back({serving, filler, model.weights.Mean(alone),
                         std::sqrt(model.weights.Variance(alone))});
    }
  }
  return weights;
}

void Interference::ImportWeights(const std::vector<LearnedWeight>& weights) {
  // The last of them was used least recently.
  for (const LearnedWeight& it : weights | std::views::reverse) {
    ServingModel& model = Use(it.serving_image);
    const uint32_t coefficient = model.CoefficientOf(it.filler_image);
    model.weights.Import(coefficient, it.mean, it.deviation);
  }
}

}  // namespace papayadrift::jobs
