#include "dice.h"

#include <cmath>

namespace papayadrift {

double Uniform(pcg64& random, double low, double high) {
  constexpr uint64_t kSteps = 1ULL << 30;
  const auto drawn = static_cast<double>(random(kSteps));
  return low + (high - low) * drawn / static_cast<double>(kSteps);
}

double LogUniform(pcg64& random, double low, double high) {
  return std::exp(Uniform(random, std::log(low), std::log(high)));
}

double Triangular(pcg64& random) {
  const double first = Uniform(random, -1, 1);
  return first + Uniform(random, -1, 1);
}

}  // namespace papayadrift
