#ifndef PAPAYADRIFT_ROUTING_REFUSAL_DETAILS_P_H_
#define PAPAYADRIFT_ROUTING_REFUSAL_DETAILS_P_H_

#include <string>

#include "base/refusal.h"

namespace papayadrift::routing {

// Returns the sentence that tells a caller why a request was refused.
std::string DetailOf(RefusalReason reason);

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_REFUSAL_DETAILS_P_H_
