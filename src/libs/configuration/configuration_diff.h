#ifndef PAPAYADRIFT_CONFIGURATION_CONFIGURATION_DIFF_H_
#define PAPAYADRIFT_CONFIGURATION_CONFIGURATION_DIFF_H_

#include <string>
#include <string_view>
#include <vector>

#include "configuration/configuration.h"

namespace papayadrift::configuration {

enum class ChangeKind { kAdded, kChanged, kRemoved };

std::string_view ToText(ChangeKind kind);

// A section that differs between two configurations.
struct SectionChange {
  ChangeKind kind = ChangeKind::kAdded;
  std::string section;  // For example "service keg-return".

  friend auto operator<=>(const SectionChange&, const SectionChange&) = default;
};

// Returns the sections that differ, in the order of their names.
std::vector<SectionChange> Compare(const Configuration& before,
                                   const Configuration& after);

}  // namespace papayadrift::configuration

#endif  // PAPAYADRIFT_CONFIGURATION_CONFIGURATION_DIFF_H_
