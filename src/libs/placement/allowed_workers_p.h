#ifndef PAPAYADRIFT_PLACEMENT_ALLOWED_WORKERS_P_H_
#define PAPAYADRIFT_PLACEMENT_ALLOWED_WORKERS_P_H_

#include <cstddef>
#include <functional>
#include <vector>

#include "placement/scheduler_core_p.h"

namespace papayadrift::placement {

// Finds workers for tasks that must be kept apart, where a random draw meets
// only racks, availability zones or workers that are closed to their job. Each
// search looks at a bounded number of racks and workers and begins where the
// last one for the job ended, so that all are looked at in their turn.
class AllowedWorkers {
 public:
  using Condition = std::function<bool(const WorkerState&)>;

  explicit AllowedWorkers(SchedulerCore& core);

  // Returns up to `count` workers that the job's separations allow and that
  // meet the condition. The first search for a job begins behind `near`.
  std::vector<WorkerState*> Find(JobState& job,
                                 const WorkerState& near,
                                 size_t count,
                                 const Condition& predicate) const;

 private:
  SchedulerCore& core_;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_ALLOWED_WORKERS_P_H_
