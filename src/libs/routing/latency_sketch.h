#ifndef PAPAYADRIFT_ROUTING_LATENCY_SKETCH_H_
#define PAPAYADRIFT_ROUTING_LATENCY_SKETCH_H_

#include <memory>
#include <optional>

#include "base/instant.h"

namespace papayadrift::routing {

// Quantiles and mean of recent latencies. Old ones fade with time and with
// the number of newer ones. Memory is bounded.
class LatencySketch {
 public:
  LatencySketch();
  ~LatencySketch();
  LatencySketch(LatencySketch&&) noexcept;
  LatencySketch& operator=(LatencySketch&&) noexcept;

  void Record(microseconds latency, Instant now);

  // Forgets what has become too old by `now`.
  void Decay(Instant now);

  // Returns the latency that the given part of requests stays within, or
  // nothing while too few are known.
  std::optional<microseconds> Quantile(double part) const;
  std::optional<microseconds> Mean() const;

 private:
  class Private;
  std::unique_ptr<Private> private_;
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_LATENCY_SKETCH_H_
