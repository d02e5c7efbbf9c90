#ifndef PAPAYADRIFT_PLACEMENT_PREEMPTOR_P_H_
#define PAPAYADRIFT_PLACEMENT_PREEMPTOR_P_H_

#include <optional>
#include <vector>

#include "placement/capacity_holds_p.h"

namespace papayadrift::placement {

// Makes room for urgent work, and for teams that are owed room that others
// have borrowed. The room is held until it is there, then claimed.
class Preemptor {
 public:
  Preemptor(SchedulerCore& core, CapacityHolds& holds);

  // Starts to make room for one task of the job, if that is allowed; returns
  // whether room is being made for all its pending tasks.
  bool Preempt(JobState& job, const Resources& grant);

 private:
  // Tasks of one worker that would give way.
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
