#include "routing/latency_sketch.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

namespace papayadrift::routing {

namespace {

namespace histogram = boost::histogram;

// 20 bins per decade, from 100 us to 100 s.
constexpr int kBins = 120;
constexpr double kLowestMicroseconds = 1e2;
constexpr double kHighestMicroseconds = 1e8;
constexpr double kFullWeight = 1024;
constexpr double kMinimumWeight = 16;
// Weight above kRetainedWeight decays quickly, so that the sketch follows the
// load.
constexpr microseconds kHalfLife = seconds(1);
// This weight decays only slowly: with few requests per second there are no
// other samples.
constexpr double kRetainedWeight = 24;
constexpr microseconds kSlowHalfLife = seconds(60);
constexpr int kMaximumHalvings = 64;

using LogAxis =
    histogram::axis::regular<double, histogram::axis::transform::log>;
using Bins =
    decltype(histogram::make_histogram_with(std::vector<double>(), LogAxis()));

Bins MakeBins() {
  return histogram::make_histogram_with(
      std::vector<double>(),
      LogAxis(kBins, kLowestMicroseconds, kHighestMicroseconds));
}

microseconds Rounded(double value) {
  return microseconds(std::llround(value));
}

}  // namespace

class LatencySketch::Private {
 public:
  void Scale(double factor) {
    bins_ *= factor;
    weight_ *= factor;
    sum_ *= factor;
  }

  // Returns the factor by which the fast decay reduces the weight.
  double FastFactor(double halvings) const {
    return weight_ <= kRetainedWeight
               ? 1
               : std::max(std::exp2(-halvings), kRetainedWeight / weight_);
  }

  Bins bins_ = MakeBins();
  double weight_ = 0;
  double sum_ = 0;
  Instant decayed_at_;
};

LatencySketch::LatencySketch() : private_(std::make_unique<Private>()) {}
LatencySketch::~LatencySketch() = default;
LatencySketch::LatencySketch(LatencySketch&&) noexcept = default;
LatencySketch& LatencySketch::operator=(LatencySketch&&) noexcept = default;

void LatencySketch::Record(microseconds latency, Instant now) {
  Decay(now);
  const auto value = static_cast<double>(latency.count());
  private_->bins_(value);
  private_->weight_ += 1;
  private_->sum_ += value;
  if (private_->weight_ > kFullWeight) {
    private_->Scale(0.5);
  }
}

void LatencySketch::Decay(Instant now) {
  const auto halvings = (now - private_->decayed_at_) / kHalfLife;
  if (halvings <= 0) {
    return;
  }
  private_->decayed_at_ += halvings * kHalfLife;
  const auto exponent =
      static_cast<double>(std::min<int64_t>(halvings, kMaximumHalvings));
  private_->Scale(private_->FastFactor(exponent) *
                  std::exp2(-exponent * kHalfLife / kSlowHalfLife));
}

std::optional<microseconds> LatencySketch::Quantile(double part) const {
  if (private_->weight_ < kMinimumWeight) {
    return std::nullopt;
  }
  const double wanted = part * private_->weight_;
  const auto& axis = private_->bins_.axis();
  double seen = 0;
  for (int it = -1; it < kBins; ++it) {
    seen += private_->bins_.at(it);
    if (seen >= wanted) {
      return Rounded(axis.value(it + 1));
    }
  }
  return Rounded(kHighestMicroseconds);
}

std::optional<microseconds> LatencySketch::Mean() const {
  if (private_->weight_ < kMinimumWeight) {
    return std::nullopt;
  }
  return Rounded(private_->sum_ / private_->weight_);
}

}  // namespace papayadrift::routing
