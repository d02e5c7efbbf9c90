#ifndef PAPAYADRIFT_JOBS_SERVING_GROUPS_H_
#define PAPAYADRIFT_JOBS_SERVING_GROUPS_H_

#include <string>
#include <vector>

#include "jobs/fleet.h"
#include "jobs/interference.h"

// Measures how well the serving tasks on a runner go together. Answers fleets
// that serving tasks fill nearly, with batch work for what they leave: a filler
// can use a runner only if none of its serving tasks is sensitive to it, so a
// few serving tasks of different sensitivity close a runner to nearly all
// fillers. Serving tasks that are sensitive to the same fillers share runners
// instead.

namespace papayadrift::jobs {

// Returns the share of filler work, from 0 to 1, that serving tasks of these
// images would slow on one runner. A few tasks among many count for more than
// their number, but for less than half of the tasks do: so moving the smaller
// part away pays task by task.
double SlowedShare(const Interference& interference,
                   const std::vector<const std::string*>& images);

// Returns the processors of the runner that fillers can use without being
// slowed, as a share of the runner: those that its serving tasks leave, for the
// fillers to which they are not sensitive.
double UsableByFillers(const Runner& runner, const Interference& interference);
// The same after a serving task of this image and need is added or removed.
double UsableByFillersWith(const Runner& runner,
                           const Interference& interference,
                           const std::string& image,
                           const Resources& need);
double UsableByFillersWithout(const Runner& runner,
                              const Interference& interference,
                              const TaskKey& task);

// Returns whether the runner would be open to more fillers without this serving
// task.
bool IsMisplaced(const Runner& runner,
                 const Interference& interference,
                 const TaskKey& task);

// Returns the millicores that fillers can expect to get on the runner.
int64_t MillicoresForFillers(const Runner& runner);

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_SERVING_GROUPS_H_
