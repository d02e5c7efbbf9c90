#include "metrics/histogram.h"

#include <algorithm>
#include <atomic>
#include <cmath>

#include <boost/histogram/accumulators/thread_safe.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

namespace papayadrift::metrics {

namespace {

namespace histogram = boost::histogram;

constexpr int kBuckets = 80;
constexpr double kLowestMicroseconds = 1e1;
constexpr double kHighestMicroseconds = 1e9;

using LogAxis =
    histogram::axis::regular<double, histogram::axis::transform::log>;
using Cells = std::vector<histogram::accumulators::thread_safe<uint64_t>>;
using Bins = decltype(histogram::make_histogram_with(Cells(), LogAxis()));

microseconds Rounded(double value) {
  return microseconds(std::llround(value));
}

}  // namespace

class Histogram::Private {
 public:
  Bins bins_ = histogram::make_histogram_with(
      Cells(),
      LogAxis(kBuckets, kLowestMicroseconds, kHighestMicroseconds));
  std::atomic<uint64_t> count_{0};
  std::atomic<int64_t> sum_{0};
};

Histogram::Histogram() : private_(std::make_unique<Private>()) {}
Histogram::~Histogram() = default;

void Histogram::Record(microseconds duration) {
  private_->bins_(static_cast<double>(duration.count()));
  private_->count_.fetch_add(1, std::memory_order_relaxed);
  private_->sum_.fetch_add(duration.count(), std::memory_order_relaxed);
}

uint64_t Histogram::count() const {
  return private_->count_.load(std::memory_order_relaxed);
}

microseconds Histogram::sum() const {
  return microseconds(private_->sum_.load(std::memory_order_relaxed));
}

std::vector<Bucket> Histogram::buckets() const {
  std::vector<Bucket> buckets;
  const auto& axis = private_->bins_.axis();
  uint64_t seen = 0;
  for (int it = -1; it < kBuckets; ++it) {
    const uint64_t own = private_->bins_.at(it).load();
    seen += own;
    if (own > 0) {
      buckets.push_back({Rounded(axis.value(it + 1)), seen});
    }
  }
  return buckets;
}

microseconds Histogram::Quantile(double part) const {
  const auto total = count();
  const double wanted = part * static_cast<double>(total);
  const std::vector<Bucket> all = buckets();
  const auto it = std::ranges::find_if(all, [&](const Bucket& bucket) {
    return static_cast<double>(bucket.cumulative_count) >= wanted;
  });
  if (total == 0) {
    return microseconds(0);
  }
  return it == all.end() ? Rounded(kHighestMicroseconds) : it->upper_bound;
}

}  // namespace papayadrift::metrics
