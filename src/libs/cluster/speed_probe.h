#ifndef PAPAYADRIFT_CLUSTER_SPEED_PROBE_H_
#define PAPAYADRIFT_CLUSTER_SPEED_PROBE_H_

#include <cstdint>
#include <string>

#include "base/clock.h"

namespace papayadrift::cluster {

// Measures how fast this process computes: a VM may have less processor time
// than it was given. A measurement takes about 0.1 ms of a whole core.
class SpeedProbe {
 public:
  explicit SpeedProbe(const Clock& clock);

  // Returns bytes hashed in a millisecond; at least 1. Only its ratio to what
  // another process measures has a meaning.
  uint64_t Measure();

 private:
  const Clock& clock_;
  const std::string data_;
  uint64_t seed_ = 0;  // Keeps the compiler from leaving the work out.
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_SPEED_PROBE_H_
