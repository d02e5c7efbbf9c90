#include "jobs/step_load.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace papayadrift::jobs {
namespace {

// Variance that the slope gains a second: slopes of half a unit of slack a
// second build up within a few seconds.
constexpr double kSlopeVarianceRate = 0.015;
constexpr double kInitialSlopeVariance = 0.1;
// Standard deviation of a sample: a part relative to the slack and an absolute
// one.
constexpr double kRelativeNoise = 0.1;
constexpr double kAbsoluteNoise = 0.15;
// Samples further off than this many standard deviations are clamped.
constexpr double kMaxDeviations = 3.0;

double SecondsBetween(Instant from, Instant to) {
  return std::chrono::duration<double>(to - from).count();
}

}  // namespace

void StepLoad::Observe(double slack, Instant at) {
  const double noise = kAbsoluteNoise + kRelativeNoise * slack;
  if (!has_samples_) {
    has_samples_ = true;
    at_ = at;
    level_ = slack;
    level_variance_ = noise * noise;
    slope_variance_ = kInitialSlopeVariance;
    return;
  }
  if (const double elapsed = SecondsBetween(at_, at); elapsed > 0) {
    at_ = at;
    level_ += slope_ * elapsed;
    level_variance_ += elapsed * (2 * covariance_ + elapsed * slope_variance_) +
                       kSlopeVarianceRate * elapsed * elapsed * elapsed / 3;
    covariance_ +=
        elapsed * slope_variance_ + kSlopeVarianceRate * elapsed * elapsed / 2;
    slope_variance_ += kSlopeVarianceRate * elapsed;
  }
  const double variance = level_variance_ + noise * noise;
  const double limit = kMaxDeviations * std::sqrt(variance);
  const double error = std::clamp(slack - level_, -limit, limit);
  const double level_gain = level_variance_ / variance;
  const double slope_gain = covariance_ / variance;
  level_ += level_gain * error;
  slope_ += slope_gain * error;
  slope_variance_ -= slope_gain * covariance_;
  covariance_ *= 1 - level_gain;
  level_variance_ *= 1 - level_gain;
}

double StepLoad::Forecast(Instant at) const {
  const double elapsed = std::max(0.0, SecondsBetween(at_, at));
  return has_samples_ ? std::max(0.0, level_ + slope_ * elapsed) : 0.0;
}

}  // namespace papayadrift::jobs
