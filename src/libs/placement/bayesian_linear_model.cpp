#include "placement/bayesian_linear_model.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numeric>

namespace papayadrift::placement {

namespace {

// Fraction of the prior variance restored per measurement.
constexpr double kVarianceRestored = 0.0005;
// Residuals are clamped to this many standard deviations.
constexpr double kMaximumResidual = 3.0;
// An imported estimate counts for this fraction of its evidence, so that
// knowledge passed on without new measurements decays. Its deviation is at
// least kLeastDeviation of the prior's, and its mean is within kMostDeviations
// deviations of the prior.
constexpr double kImportedEvidence = 0.5;
constexpr double kLeastDeviation = 0.1;
constexpr double kMostDeviations = 5.0;

size_t RowStart(uint32_t row) {
  return static_cast<size_t>(row) * (row + 1) / 2;
}

}  // namespace

void BayesianLinearModel::AddCoefficient(const CoefficientPrior& prior) {
  const uint32_t row = size();
  priors_.push_back(prior);
  mean_.push_back(prior.mean);
  covariance_.resize(covariance_.size() + row + 1, 0.0);
  At(row, row) = prior.deviation * prior.deviation;
}

void BayesianLinearModel::Observe(const Features& features,
                                  double value,
                                  double noise) {
  RestoreVariance(features);
  const std::vector<double> column = TimesCovariance(features);
  double variance = noise * noise;
  for (const Feature& it : features) {
    variance += it.amount * column[it.coefficient];
  }
  const double limit = kMaximumResidual * std::sqrt(variance);
  const double residual = std::clamp(value - Mean(features), -limit, limit);
  for (uint32_t i = 0; i < size(); ++i) {
    mean_[i] += column[i] / variance * residual;
    for (uint32_t j = 0; j <= i; ++j) {
      At(i, j) -= column[i] * column[j] / variance;
    }
  }
}

void BayesianLinearModel::Import(uint32_t coefficient,
                                 double mean,
                                 double deviation) {
  const CoefficientPrior& prior = priors_[coefficient];
  if (!std::isfinite(mean) || !(deviation > 0)) {
    return;
  }
  const double bounded_deviation =
      std::max(deviation, kLeastDeviation * prior.deviation);
  const double variance =
      bounded_deviation * bounded_deviation / kImportedEvidence;
  if (variance >= At(coefficient, coefficient)) {
    return;
  }
  for (uint32_t i = 0; i < size(); ++i) {
    At(i, coefficient) = 0;
  }
  At(coefficient, coefficient) = variance;
  const double most = kMostDeviations * prior.deviation;
  mean_[coefficient] = std::clamp(mean, prior.mean - most, prior.mean + most);
}

double BayesianLinearModel::Mean(const Features& features) const {
  return std::accumulate(features.begin(), features.end(), 0.0,
                         [this](double sum, const Feature& it) {
                           return sum + mean_[it.coefficient] * it.amount;
                         });
}

double BayesianLinearModel::Variance(const Features& features) const {
  assert(std::ranges::is_sorted(features, {}, &Feature::coefficient));
  // The covariance is symmetric, so each pair is read once.
  double own = 0;
  double pairs = 0;
  for (auto row = features.begin(); row != features.end(); ++row) {
    const double* const covariances = &covariance_[RowStart(row->coefficient)];
    double sum = 0;
    for (auto column = features.begin(); column != row; ++column) {
      sum += column->amount * covariances[column->coefficient];
    }
    pairs += row->amount * sum;
    own += row->amount * row->amount * covariances[row->coefficient];
  }
  return std::max(0.0, own + 2 * pairs);
}

double& BayesianLinearModel::At(uint32_t row, uint32_t column) {
  const auto [low, high] = std::minmax(row, column);
  return covariance_[RowStart(high) + low];
}

double BayesianLinearModel::At(uint32_t row, uint32_t column) const {
  const auto [low, high] = std::minmax(row, column);
  return covariance_[RowStart(high) + low];
}

std::vector<double> BayesianLinearModel::TimesCovariance(
    const Features& features) const {
  std::vector<double> product(size(), 0.0);
  for (const Feature& it : features) {
    for (uint32_t i = 0; i < size(); ++i) {
      product[i] += At(i, it.coefficient) * it.amount;
    }
  }
  return product;
}

void BayesianLinearModel::RestoreVariance(const Features& features) {
  for (const Feature& it : features) {
    const CoefficientPrior& prior = priors_[it.coefficient];
    const double whole = prior.deviation * prior.deviation;
    double& variance = At(it.coefficient, it.coefficient);
    variance = std::max(variance,
                        std::min(whole, variance + kVarianceRestored * whole));
  }
}

}  // namespace papayadrift::placement
