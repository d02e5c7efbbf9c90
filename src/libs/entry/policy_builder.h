#ifndef PAPAYADRIFT_ENTRY_POLICY_BUILDER_H_
#define PAPAYADRIFT_ENTRY_POLICY_BUILDER_H_

#include "configuration/configuration.h"
#include "placement/policy.h"

namespace papayadrift::entry {

// Returns what the operators' file says about placement.
placement::Policy PolicyOf(const configuration::Configuration& configuration);

}  // namespace papayadrift::entry

#endif  // PAPAYADRIFT_ENTRY_POLICY_BUILDER_H_
