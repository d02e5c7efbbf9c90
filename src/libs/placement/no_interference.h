#ifndef PAPAYADRIFT_PLACEMENT_NO_INTERFERENCE_H_
#define PAPAYADRIFT_PLACEMENT_NO_INTERFERENCE_H_

#include "placement/interference_model.h"

namespace papayadrift::placement {

// Assumes that batch work does not affect services.
class NoInterference : public InterferenceModel {
 public:
  void Introduce(KindNumber number, const KindId& kind) override;
  void Observe(const ServiceId& service,
               double load,
               std::span<const KindLoad> neighbours,
               double pressure) override;
  Pressure Expect(const ServiceId& service,
                  double load,
                  std::span<const KindLoad> neighbours) const override;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_NO_INTERFERENCE_H_
