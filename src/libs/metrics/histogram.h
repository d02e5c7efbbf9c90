#ifndef PAPAYADRIFT_METRICS_HISTOGRAM_H_
#define PAPAYADRIFT_METRICS_HISTOGRAM_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "base/instant.h"

namespace papayadrift::metrics {

// How many durations were at most `upper_bound`, those of lower buckets
// included.
struct Bucket {
  microseconds upper_bound{0};
  uint64_t cumulative_count = 0;

  friend bool operator==(const Bucket&, const Bucket&) = default;
};

// Durations from 10 us to 1000 s in buckets of equal ratio (10 for each factor
// of ten). Safe to share between threads.
class Histogram {
 public:
  Histogram();
  ~Histogram();
  Histogram(const Histogram&) = delete;
  Histogram& operator=(const Histogram&) = delete;

  void Record(microseconds duration);

  uint64_t count() const;
  microseconds sum() const;

  // Returns the buckets that something was recorded in, in order. Durations
  // above the range are in count() only.
  std::vector<Bucket> buckets() const;

  // Returns a duration that at least this part of all stay within; zero when
  // there are none.
  microseconds Quantile(double part) const;

 private:
  class Private;
  std::unique_ptr<Private> private_;
};

}  // namespace papayadrift::metrics

#endif  // PAPAYADRIFT_METRICS_HISTOGRAM_H_
