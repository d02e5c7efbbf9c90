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

// What is known of one coefficient of a service's pressure.
struct LearnedCoefficient {
  std::optional<KindNumber> neighbour;  // Nothing for the service's own load.
  uint32_t power = 0;  // 0 counts at any load, the others grow with it.
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

// How services suffer from the batch kinds that run beside them.
class InterferenceModel {
 public:
  virtual ~InterferenceModel() = default;

  // Makes the kind known under its number.
  virtual void Introduce(KindNumber number, const KindId& kind) = 0;
  // A service with this load, 0 to 1, beside these neighbours was measured at
  // `pressure`.
  virtual void Observe(const ServiceId& service,
                       double load,
                       std::span<const KindLoad> neighbours,
                       double pressure) = 0;

  virtual Pressure Expect(const ServiceId& service,
                          double load,
                          std::span<const KindLoad> neighbours) const = 0;

  // Takes up what was noted of the service, where the model does not know it
  // better.
  virtual void Import(const LearnedService& /*noted*/) {}
  // Returns what was learned of services, without what is only assumed.
  virtual std::vector<LearnedService> Learned() const { return {}; }
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_INTERFERENCE_MODEL_H_
