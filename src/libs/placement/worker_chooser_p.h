#ifndef PAPAYADRIFT_PLACEMENT_WORKER_CHOOSER_P_H_
#define PAPAYADRIFT_PLACEMENT_WORKER_CHOOSER_P_H_

#include <optional>
#include <vector>

#include "placement/allowed_workers_p.h"
#include "placement/scheduler_core_p.h"
#include "placement/scorer_p.h"

namespace papayadrift::placement {

// The best worker for a task, if any examined worker is suitable.
struct WorkerChoice {
  WorkerState* worker = nullptr;
  Score score;
  int examined = 0;
  // Why no worker with enough capacity is suitable; empty if none had enough.
  std::optional<WaitReason> why_not;
  bool is_kept_apart = false;  // A separation rule excluded a worker.
};

// Examines a bounded number of workers for one task.
class WorkerChooser {
 public:
  explicit WorkerChooser(SchedulerCore& core);

  // Never chooses `except`.
  WorkerChoice Choose(JobState& job,
                      const Resources& grant,
                      const WorkerState* except = nullptr);

 private:
  WorkerChoice BestOf(const std::vector<WorkerState*>& candidates,
                      const JobState& job,
                      const Resources& grant,
                      const WorkerState* except);
  bool MayClaimOn(const WorkerState& worker) const;

  SchedulerCore& core_;
  AllowedWorkers allowed_;
  Scorer scorer_;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_WORKER_CHOOSER_P_H_
