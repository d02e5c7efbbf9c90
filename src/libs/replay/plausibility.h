#ifndef PAPAYADRIFT_REPLAY_PLAUSIBILITY_H_
#define PAPAYADRIFT_REPLAY_PLAUSIBILITY_H_

#include "base/resources.h"

namespace papayadrift::replay {

// Returns whether every amount is from 0 to a bound far above any VM's, so
// that sums of them cannot overflow.
bool IsPlausible(const Resources& resources);

}  // namespace papayadrift::replay

#endif  // PAPAYADRIFT_REPLAY_PLAUSIBILITY_H_
