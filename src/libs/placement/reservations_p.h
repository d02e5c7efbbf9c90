#ifndef PAPAYADRIFT_PLACEMENT_RESERVATIONS_P_H_
#define PAPAYADRIFT_PLACEMENT_RESERVATIONS_P_H_

#include <optional>

#include "placement/capacity_holds_p.h"

namespace papayadrift::placement {

// Keeps the room that ending tasks leave for jobs that smaller ones overtake
// time and again, so that none waits for ever. Nothing is stopped for it.
class Reservations {
 public:
  Reservations(SchedulerCore& core, CapacityHolds& holds);

  // Reserves a room for one task of a job that was just not placed, if it has
  // waited long enough; returns whether one is kept for it by now.
  bool Reserve(JobState& job, const Resources& grant);

 private:
  bool IsDue(const JobState& job, const Resources& grant) const;
  bool IsHarmless(WorkerState& worker,
                  const JobState& job,
                  const Resources& grant) const;
  // Returns when the grant is expected to fit; nothing where it never will.
  std::optional<Instant> ExpectedFit(const WorkerState& worker,
                                     const Resources& grant) const;
  Instant ExpectedEnd(const TaskState& task) const;

  SchedulerCore& core_;
  CapacityHolds& holds_;
  Scorer scorer_;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_RESERVATIONS_P_H_
