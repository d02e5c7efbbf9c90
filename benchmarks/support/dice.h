#ifndef PAPAYADRIFT_BENCHMARKS_SUPPORT_DICE_H_
#define PAPAYADRIFT_BENCHMARKS_SUPPORT_DICE_H_

#include <pcg_random.hpp>

namespace papayadrift {

// Random numbers that are the same on every machine.
double Uniform(pcg64& random, double low, double high);
// Evenly spread logarithms.
double LogUniform(pcg64& random, double low, double high);
// Between -2 and 2, mostly close to 0.
double Triangular(pcg64& random);

}  // namespace papayadrift

#endif  // PAPAYADRIFT_BENCHMARKS_SUPPORT_DICE_H_
