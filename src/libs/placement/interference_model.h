#ifndef PAPAYADRIFT_PLACEMENT_INTERFERENCE_MODEL_H_
#define PAPAYADRIFT_PLACEMENT_INTERFERENCE_MODEL_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "base/identifiers.h"
#include "placement/kind.h"

namespace papayadrift::placement {

// Expected p99 of a service over its target, with the uncertainty of that
// expectation. 1 is just at the target.
struct Pressure {
  double mean = 0;
  double deviation = 0;

  friend bool operator==(const Pressure&, const Pressure&) = default;
};

// Learned value of one coefficient of a service's pressure.
struct LearnedCoefficient {
  std::optional<KindNumber> neighbour;  // Empty for the service's own load.
  uint32_t power = 0;  // 0 is independent of the load, others grow.
  double mean = 0;
  double deviation = 0;

  friend bool operator==(const LearnedCoefficient&,
                         const LearnedCoefficient&) = default;
};

struct LearnedService {
  ServiceId service;
  std::vector<LearnedCoefficient> coefficients;

  friend bool operator==(const LearnedService&,
                         const LearnedService&) = default;
};

// Predicts how batch kinds on the same worker slow services down.
class InterferenceModel {
 public:
  virtual ~InterferenceModel() = default;

  // Registers the kind under its number.
  virtual void Introduce(KindNumber number, const KindId& kind) = 0;
  // Adds a measurement: a service with this load, 0 to 1, and these neighbours
  // had the given pressure.
  virtual void Observe(const ServiceId& service,
                       double load,
                       std::span<const KindLoad> neighbours,
                       double pressure) = 0;

  virtual Pressure Expect(const ServiceId& service,
                          double load,
                          std::span<const KindLoad> neighbours) const = 0;

  // Imports recorded knowledge of the service where the model has less
  // evidence.
  virtual void Import(const LearnedService& /*noted*/) {}
  // Returns what was learned of services, without prior assumptions.
  virtual std::vector<LearnedService> Learned() const { return {}; }
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_INTERFERENCE_MODEL_H_
