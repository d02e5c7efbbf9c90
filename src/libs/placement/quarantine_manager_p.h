#ifndef PAPAYADRIFT_PLACEMENT_QUARANTINE_MANAGER_P_H_
#define PAPAYADRIFT_PLACEMENT_QUARANTINE_MANAGER_P_H_

#include <set>

#include "placement/event.h"
#include "placement/scheduler_core_p.h"

namespace papayadrift::placement {

// Tells workers that fail everything from jobs that fail everywhere. The
// former get only probes until they work again, the latter are refused.
class QuarantineManager {
 public:
  explicit QuarantineManager(SchedulerCore& core);

  // An attempt ended on its worker, successfully or not.
  void OnAttemptEnded(TaskState& task, bool has_failed);
  // Refuses the task's job if it has failed too often on too many workers;
  // returns whether the job is gone.
  bool RefuseIfFailingEverywhere(TaskState& task);
  // A record says that the worker is quarantined, or not any more, by whichever
  // scheduler.
  void OnQuarantineRecord(WorkerState& worker, bool is_quarantined);
  // The worker goes on as another incarnation: a quarantine goes with it.
  void CarryOver(const WorkerState& worker);
  // Sends probes to quarantined workers that are due one.
  void SendProbes();

 private:
  void UpdateQuarantine(WorkerState& worker);
  void SendProbe(WorkerState& worker);
  // Returns a pending job that is known to work, small enough for the worker.
  JobState* ProbeFor(const WorkerState& worker, Resources& grant);

  SchedulerCore& core_;
  // In the order of numbers: that of addresses is another one in each run.
  struct ByNumber {
    bool operator()(const WorkerState* left, const WorkerState* right) const {
      return left->number < right->number;
    }
  };

  std::set<WorkerState*, ByNumber> quarantined_;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_QUARANTINE_MANAGER_P_H_
