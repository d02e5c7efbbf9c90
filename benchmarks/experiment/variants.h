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

// The current policy; the same with the weights of all pairs of images known
// from the start; and first fit, regardless of what runs there.
std::vector<NamedVariant> StandardVariants();

// Reads sections "[variant NAME]" with settings that differ from the current
// policy.
std::optional<std::vector<NamedVariant>> ReadVariants(
    const std::string& text,
    std::vector<settings::Problem>& problems);

}  // namespace papayadrift::experiment

#endif  // PAPAYADRIFT_BENCHMARKS_EXPERIMENT_VARIANTS_H_
