#ifndef PAPAYADRIFT_PLACEMENT_ALLOWED_WORKERS_P_H_
#define PAPAYADRIFT_PLACEMENT_ALLOWED_WORKERS_P_H_

#include <cstddef>
#include <functional>
#include <vector>

#include "placement/scheduler_core_p.h"

namespace papayadrift::placement {

// Finds workers for tasks with separation rules, where random sampling returns
// only racks, availability zones or workers that those rules exclude. Each
// search examines a bounded number of racks and workers and continues where the
// previous search for the job ended, so that all are examined eventually.
class AllowedWorkers {
 public:
  using Condition = std::function<bool(const WorkerState&)>;

  explicit AllowedWorkers(SchedulerCore& core);

  // Returns up to `count` workers that satisfy the job's separation rules and
  // the predicate. The first search for a job starts after `near`.
  std::vector<WorkerState*> Find(JobState& job,
                                 const WorkerState& near,
                                 size_t count,
                                 const Condition& predicate) const;

 private:
  SchedulerCore& core_;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_ALLOWED_WORKERS_P_H_
