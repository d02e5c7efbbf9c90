#ifndef PAPAYADRIFT_JOBS_VIEW_LIMIT_H_
#define PAPAYADRIFT_JOBS_VIEW_LIMIT_H_

#include "base/instant.h"

namespace papayadrift::jobs {

// Time in which a call that starts a run reaches the runner, and the error of
// the clocks on which the age of the leader's knowledge is told.
inline constexpr milliseconds kStartMargin(500);

// Returns the longest age of what a leader knows of the stored jobs when an
// agent starts a run on it, if no run may start later than `cancellation_limit`
// after the cancellation of its job was acknowledged: one that the leader does
// not know of was acknowledged after that.
constexpr milliseconds ViewLimitOf(milliseconds cancellation_limit) {
  return cancellation_limit - kStartMargin;
}

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_VIEW_LIMIT_H_
