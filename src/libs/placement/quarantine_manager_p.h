#ifndef PAPAYADRIFT_PLACEMENT_QUARANTINE_MANAGER_P_H_
#define PAPAYADRIFT_PLACEMENT_QUARANTINE_MANAGER_P_H_

#include <set>

#include "placement/event.h"
#include "placement/scheduler_core_p.h"

namespace papayadrift::placement {

// Distinguishes workers that fail all tasks from jobs that fail on all workers.
// Such workers get only probes until they recover; such jobs are refused.
class QuarantineManager {
 public:
  explicit QuarantineManager(SchedulerCore& core);

  // An attempt ended on its worker, successfully or not.
  void OnAttemptEnded(TaskState& task, bool has_failed);
  // Refuses the task's job after too many failures on too many workers. Returns
  // whether the job was refused.
  bool RefuseIfFailingEverywhere(TaskState& task);
  // Applies a record by which any scheduler started or ended a quarantine.
  void OnQuarantineRecord(WorkerState& worker, bool is_quarantined);
  // Applies an existing quarantine to the worker's new incarnation.
  void CarryOver(const WorkerState& worker);
  // Sends probes to quarantined workers whose next probe is due.
  void SendProbes();

 private:
  void UpdateQuarantine(WorkerState& worker);
  void SendProbe(WorkerState& worker);
  // Returns a pending job that is known to work, small enough for the worker.
  JobState* ProbeFor(const WorkerState& worker, Resources& grant);

  SchedulerCore& core_;
  // Ordered by number, since the order of addresses differs between runs.
  struct ByNumber {
    bool operator()(const WorkerState* left, const WorkerState* right) const {
      return left->number < right->number;
    }
  };

  std::set<WorkerState*, ByNumber> quarantined_;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_QUARANTINE_MANAGER_P_H_
