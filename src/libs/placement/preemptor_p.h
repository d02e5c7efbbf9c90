#ifndef PAPAYADRIFT_PLACEMENT_PREEMPTOR_P_H_
#define PAPAYADRIFT_PLACEMENT_PREEMPTOR_P_H_

#include <optional>
#include <vector>

#include "placement/capacity_holds_p.h"

namespace papayadrift::placement {

// Frees capacity, by throttling or evicting tasks, for urgent work and for
// teams within their quota whose share others have borrowed. The capacity is
// held until it is free, then claimed.
class Preemptor {
 public:
  Preemptor(SchedulerCore& core, CapacityHolds& holds);

  // Starts preemption for one task of the job, if allowed. Returns whether it
  // has started.
  bool Preempt(JobState& job, const Resources& grant);

 private:
  // Tasks of one worker that would be throttled or stopped.
  struct Plan {
    WorkerState* worker = nullptr;
    std::vector<TaskState*> throttled;
    std::vector<TaskState*> stopped;
    double cost = 0;
  };

  std::optional<EvictionReason> AllowedReason(const JobState& job,
                                              const Resources& grant) const;
  std::optional<Plan> PlanFor(WorkerState& worker,
                              const Resources& grant,
                              EvictionReason reason);
  bool PlanThrottles(Plan& plan, const Resources& missing) const;
  bool PlanEvictions(Plan& plan,
                     const Resources& missing,
                     EvictionReason reason);
  bool IsPreemptible(const TaskState& task, EvictionReason reason) const;
  void Execute(const Plan& plan,
               JobState& job,
               const Resources& grant,
               EvictionReason reason);

  SchedulerCore& core_;
  CapacityHolds& holds_;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_PREEMPTOR_P_H_
