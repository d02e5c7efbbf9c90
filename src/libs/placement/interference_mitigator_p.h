#ifndef PAPAYADRIFT_PLACEMENT_INTERFERENCE_MITIGATOR_P_H_
#define PAPAYADRIFT_PLACEMENT_INTERFERENCE_MITIGATOR_P_H_

#include <vector>

#include "placement/capacity_holds_p.h"
#include "placement/event.h"
#include "placement/scheduler_core_p.h"
#include "placement/worker_chooser_p.h"

namespace papayadrift::placement {

// Takes in latency reports and helps services above their target: first by
// placing elsewhere, which the score sees to; then by throttling what hurts
// most; then by moving or evicting it, within a budget.
class InterferenceMitigator {
 public:
  InterferenceMitigator(SchedulerCore& core, CapacityHolds& holds);

  void OnReport(const LatencyReported& report);

 private:
  struct Antagonist {
    TaskState* task = nullptr;
    double harm = 0;  // What its kind adds to the service's pressure.
  };

  void Learn(WorkerState& worker,
             RunnerState& runner,
             const LatencyReported& report);
  void CountReport(RunnerState& runner) const;
  void Mitigate(WorkerState& worker, RunnerState& runner);
  void Recover(WorkerState& worker, RunnerState& runner);
  // Returns the tasks that hurt the service, the worst first.
  std::vector<Antagonist> FindAntagonists(const WorkerState& worker,
                                          const RunnerState& runner) const;
  bool Throttle(const std::vector<Antagonist>& antagonists);
  bool StopOne(const std::vector<Antagonist>& antagonists);
  // Moves one that loses nothing by it, if there is a better place for it.
  bool MoveOne(const std::vector<Antagonist>& antagonists);
  bool TakeFromBudget();
  // Of the workers that this scheduler looks after.
  double MostEvictionsPerHour() const;

  SchedulerCore& core_;
  CapacityHolds& holds_;
  WorkerChooser chooser_;
  double budget_ = 0;  // Evictions that may be made now.
  Instant budget_at_;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_INTERFERENCE_MITIGATOR_P_H_
