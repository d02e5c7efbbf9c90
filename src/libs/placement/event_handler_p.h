#ifndef PAPAYADRIFT_PLACEMENT_EVENT_HANDLER_P_H_
#define PAPAYADRIFT_PLACEMENT_EVENT_HANDLER_P_H_

#include "placement/capacity_holds_p.h"
#include "placement/event.h"
#include "placement/grant_adjuster_p.h"
#include "placement/interference_mitigator_p.h"
#include "placement/placer_p.h"
#include "placement/preemptor_p.h"
#include "placement/quarantine_manager_p.h"
#include "placement/reservations_p.h"
#include "placement/scheduler_core_p.h"

namespace papayadrift::placement {

// Applies one event, then runs one scheduling pass if the event may have added
// work or capacity.
class EventHandler {
 public:
  explicit EventHandler(SchedulerCore& core);

  void Handle(const Event& event);

 private:
  // Whether a scheduling pass may find new placements.
  enum class Effect { kNone, kPass };

  Effect Apply(const Tick& event);
  Effect Apply(const PolicyChanged& event);
  Effect Apply(const WorkerUp& event);
  Effect Apply(const WorkerAssigned& event);
  Effect Apply(const WorkerDraining& event);
  Effect Apply(const WorkerLapsed& event);
  Effect Apply(const WorkerFreed& event);
  Effect Apply(const WorkerQuarantined& event);
  Effect Apply(const JobSubmitted& event);
  Effect Apply(const JobCancelled& event);
  Effect Apply(const JobRefused& event);
  Effect Apply(const ClaimAccepted& event);
  Effect Apply(const ClaimRejected& event);
  Effect Apply(const TaskStarted& event);
  Effect Apply(const TaskEnded& event);
  Effect Apply(const GrantConfirmed& event);
  Effect Apply(const GrantRecorded& event);
  Effect Apply(const GrantRefused& event);
  Effect Apply(const UsageReported& event);
  Effect Apply(const LatencyReported& event);
  Effect Apply(const KnowledgeNoted& event);
  Effect Apply(const RegionCutOff& event);
  Effect Apply(const RegionRejoined& event);

  // Returns the task if this is its last attempt and it may still be running.
  TaskState* FindLive(const TaskId& id, Attempt attempt);
  void EvictForRunners(WorkerState& worker);
  void CompleteTask(TaskState& task, const TaskEnded& event);

  SchedulerCore& core_;
  CapacityHolds holds_;
  Preemptor preemptor_;
  Reservations reservations_;
  Placer placer_;
  QuarantineManager quarantine_manager_;
  InterferenceMitigator mitigator_;
  GrantAdjuster grant_adjuster_;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_EVENT_HANDLER_P_H_
