#include "routing/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace papayadrift::routing {

namespace {

// Weight of one window in the long-term mean.
constexpr double kLongTermWeight = 0.05;
// One adjustment multiplies the limit by no less than this.
constexpr double kMinimumGradient = 0.5;
constexpr double kGrowthUtilization = 0.5;
// A few hanging requests don't indicate overload: each sample is capped at this
// multiple of the long-term mean.
constexpr double kOutlierFactor = 4;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(LimitSettings settings)
    : settings_(settings) {}

void ConcurrencyLimit::SetCeiling(int32_t ceiling) {
  const double wanted = std::max(1, ceiling);
  if (wanted > ceiling_ && limit_ >= ceiling_) {
    limit_ = wanted;
  }
  ceiling_ = wanted;
  Clamp();
}

void ConcurrencyLimit::Record(microseconds latency, int32_t in_flight) {
  const auto value = static_cast<double>(latency.count());
  const double most = long_mean_ == 0 ? value : kOutlierFactor * long_mean_;
  window_sum_ += std::min(value, most);
  window_peak_ = std::max(window_peak_, in_flight);
  if (++window_count_ < settings_.window_samples) {
    return;
  }
  Adjust(window_sum_ / window_count_);
  window_sum_ = 0;
  window_count_ = 0;
  window_peak_ = 0;
}

int32_t ConcurrencyLimit::limit() const {
  return static_cast<int32_t>(limit_);
}

void ConcurrencyLimit::Adjust(double mean) {
  if (long_mean_ == 0 || mean < long_mean_) {
    long_mean_ = mean;
  }
  long_mean_ += kLongTermWeight * (mean - long_mean_);
  const double gradient =
      std::clamp(settings_.tolerance * long_mean_ / std::max(mean, 1.0),
                 kMinimumGradient, 1.0);
  limit_ *= gradient;
  if (gradient == 1.0 && window_peak_ >= limit_ * kGrowthUtilization) {
    limit_ += std::sqrt(limit_);
  }
  Clamp();
}

void ConcurrencyLimit::Clamp() {
  const double floor = std::max(1.0, ceiling_ * settings_.floor_fraction);
  limit_ = std::clamp(limit_, floor, std::max(floor, ceiling_));
}

}  // namespace papayadrift::routing
