#ifndef PAPAYADRIFT_ROUTING_LATENCY_SKETCH_H_
#define PAPAYADRIFT_ROUTING_LATENCY_SKETCH_H_

#include <memory>
#include <optional>

#include "base/instant.h"

namespace papayadrift::routing {

// Quantiles and mean of recent latencies. The weight of older samples decays
// with time and with the number of newer samples. Memory usage is bounded.
class LatencySketch {
 public:
  LatencySketch();
  ~LatencySketch();
  LatencySketch(LatencySketch&&) noexcept;
  LatencySketch& operator=(LatencySketch&&) noexcept;

  void Record(microseconds latency, Instant now);

  // Applies the decay up to `now`.
  void Decay(Instant now);

  // Returns the given quantile of the latency, or nothing if there are too few
  // samples.
  std::optional<microseconds> Quantile(double part) const;
  std::optional<microseconds> Mean() const;

 private:
  class Private;
  std::unique_ptr<Private> private_;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_LATENCY_SKETCH_H_
