#ifndef PAPAYADRIFT_PLACEMENT_PLACER_P_H_
#define PAPAYADRIFT_PLACEMENT_PLACER_P_H_

#include <optional>

#include "placement/preemptor_p.h"
#include "placement/reservations_p.h"
#include "placement/scheduler_core_p.h"
#include "placement/worker_chooser_p.h"

namespace papayadrift::placement {

// Runs scheduling passes: walks the queues and claims workers, in bounded
// steps.
class Placer {
 public:
  Placer(SchedulerCore& core, Preemptor& preemptor, Reservations& reservations);

  // One bounded pass over all queues.
  void Pass();

 private:
  // Result of an attempt to place one task of a job.
  enum class Outcome { kPlaced, kNotPlaced, kRefused };

  void PassUrgent();
  void PassTeams();
  void PassTeam(uint32_t team, size_t& failed);
  JobState* NextJob(uint32_t team);
  Outcome TryPlace(JobState& job);
  void RecordFailure(JobState& job) const;
  PlacementReason ReasonFor(const JobState& job) const;
  Outcome Postpone(JobState& job, WaitReason reason);
  bool RefuseIfTooLarge(JobState& job, Resources& grant);
  std::optional<WaitReason> FindWaitReason(const JobState& job,
                                           const Resources& grant) const;

  SchedulerCore& core_;
  Preemptor& preemptor_;
  Reservations& reservations_;
  WorkerChooser chooser_;
  size_t claims_left_ = 0;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_PLACER_P_H_
