#ifndef PAPAYADRIFT_PLACEMENT_RESERVATIONS_P_H_
#define PAPAYADRIFT_PLACEMENT_RESERVATIONS_P_H_

#include <optional>

#include "placement/capacity_holds_p.h"

namespace papayadrift::placement {

// Reserves capacity freed by ending tasks for jobs that smaller jobs repeatedly
// overtake, which prevents starvation. Preempts nothing.
class Reservations {
 public:
  Reservations(SchedulerCore& core, CapacityHolds& holds);

  // Reserves capacity for one task of a job that could not be placed, if it has
  // waited long enough. Returns whether capacity is now reserved.
  bool Reserve(JobState& job, const Resources& grant);

 private:
  bool IsDue(const JobState& job, const Resources& grant) const;
  bool IsHarmless(WorkerState& worker,
                  const JobState& job,
                  const Resources& grant) const;
  // Returns when the grant is expected to fit, or nullopt if it never will.
  std::optional<Instant> ExpectedFit(const WorkerState& worker,
                                     const Resources& grant) const;
  Instant ExpectedEnd(const TaskState& task) const;

  SchedulerCore& core_;
  CapacityHolds& holds_;
  Scorer scorer_;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_RESERVATIONS_P_H_
