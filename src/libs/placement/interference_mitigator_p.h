#ifndef PAPAYADRIFT_PLACEMENT_INTERFERENCE_MITIGATOR_P_H_
#define PAPAYADRIFT_PLACEMENT_INTERFERENCE_MITIGATOR_P_H_

#include <vector>

#include "placement/capacity_holds_p.h"
#include "placement/event.h"
#include "placement/scheduler_core_p.h"
#include "placement/worker_chooser_p.h"

namespace papayadrift::placement {

// Protects services above their latency target, based on latency reports. The
// score already steers new tasks to other workers; this class throttles the
// most harmful tasks, then moves or evicts them within a budget.
class InterferenceMitigator {
 public:
  InterferenceMitigator(SchedulerCore& core, CapacityHolds& holds);

  void OnReport(const LatencyReported& report);

 private:
  struct Antagonist {
    TaskState* task = nullptr;
    double harm = 0;  // Pressure that its kind adds to the service.
  };

  void Learn(WorkerState& worker,
             RunnerState& runner,
             const LatencyReported& report);
  void CountReport(RunnerState& runner) const;
  void Mitigate(WorkerState& worker, RunnerState& runner);
  void Recover(WorkerState& worker, RunnerState& runner);
  // Returns the tasks that slow the service, the most harmful first.
  std::vector<Antagonist> FindAntagonists(const WorkerState& worker,
                                          const RunnerState& runner) const;
  bool Throttle(const std::vector<Antagonist>& antagonists);
  bool StopOne(const std::vector<Antagonist>& antagonists);
  // Moves a task that loses no work by it, if another worker suits it better.
  bool MoveOne(const std::vector<Antagonist>& antagonists);
  bool TakeFromBudget();
  // Limit for the workers assigned to this scheduler.
  double MostEvictionsPerHour() const;

  SchedulerCore& core_;
  CapacityHolds& holds_;
  WorkerChooser chooser_;
  double budget_ = 0;  // Evictions that may be made now.
  Instant budget_at_;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_INTERFERENCE_MITIGATOR_P_H_
