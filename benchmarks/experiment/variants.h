#ifndef PAPAYADRIFT_BENCHMARKS_EXPERIMENT_VARIANTS_H_
#define PAPAYADRIFT_BENCHMARKS_EXPERIMENT_VARIANTS_H_

#include <optional>
#include <string>
#include <vector>

#include "settings/problem.h"
#include "simulation.h"

namespace papayadrift::experiment {

struct NamedVariant {
  std::string name;
  Variant variant;

  friend bool operator==(const NamedVariant&, const NamedVariant&) = default;
};

// Today's code; the same with the weights of all pairs of images known from the
// start; and the first runner with room, whatever runs there.
std::vector<NamedVariant> StandardVariants();

// Reads sections "[variant NAME]" with settings that differ from today's code.
std::optional<std::vector<NamedVariant>> ReadVariants(
    const std::string& text,
    std::vector<settings::Problem>& problems);

}  // namespace papayadrift::experiment

#endif  // PAPAYADRIFT_BENCHMARKS_EXPERIMENT_VARIANTS_H_
