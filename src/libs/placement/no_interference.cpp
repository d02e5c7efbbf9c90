#include "placement/no_interference.h"

namespace papayadrift::placement {

void NoInterference::Introduce(KindNumber /*number*/, const KindId& /*kind*/) {}

void NoInterference::Observe(const ServiceId& /*service*/,
                             double /*load*/,
                             std::span<const KindLoad> /*neighbours*/,
                             double /*pressure*/) {}

Pressure NoInterference::Expect(
    const ServiceId& /*service*/,
    double /*load*/,
    std::span<const KindLoad> /*neighbours*/) const {
  return {};
}

}  // namespace papayadrift::placement
