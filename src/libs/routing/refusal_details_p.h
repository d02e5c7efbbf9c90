#ifndef PAPAYADRIFT_ROUTING_REFUSAL_DETAILS_P_H_
#define PAPAYADRIFT_ROUTING_REFUSAL_DETAILS_P_H_

#include <string>

#include "base/refusal.h"

namespace papayadrift::routing {

// Returns the message that explains a refusal to the caller.
std::string DetailOf(RefusalReason reason);

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_REFUSAL_DETAILS_P_H_
