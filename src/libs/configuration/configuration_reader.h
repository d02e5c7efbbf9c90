#ifndef PAPAYADRIFT_CONFIGURATION_CONFIGURATION_READER_H_
#define PAPAYADRIFT_CONFIGURATION_CONFIGURATION_READER_H_

#include <optional>
#include <string>
#include <vector>

#include "configuration/configuration.h"
#include "settings/problem.h"
#include "settings/schema.h"

namespace papayadrift::configuration {

// The sections and keys of an operators' file.
const settings::Schema& ConfigurationSchema();

// Reads the INI text of an operators' file. Returns nothing, and says why in
// `problems`, when anything in it is wrong.
std::optional<Configuration> ReadConfiguration(
    const std::string& text,
    std::vector<settings::Problem>& problems);

}  // namespace papayadrift::configuration

#endif  // PAPAYADRIFT_CONFIGURATION_CONFIGURATION_READER_H_
