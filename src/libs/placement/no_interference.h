#ifndef PAPAYADRIFT_PLACEMENT_NO_INTERFERENCE_H_
#define PAPAYADRIFT_PLACEMENT_NO_INTERFERENCE_H_

#include "placement/interference_model.h"

namespace papayadrift::placement {

// Believes that services never suffer from their neighbours.
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
