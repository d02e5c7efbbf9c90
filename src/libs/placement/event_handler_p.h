#ifndef PAPAYADRIFT_PLACEMENT_EVENT_HANDLER_P_H_
#define PAPAYADRIFT_PLACEMENT_EVENT_HANDLER_P_H_

#include "placement/core_p.h"
#include "placement/event.h"
#include "placement/placer_p.h"
#include "placement/quarantine_p.h"
#include "placement/regrants_p.h"
#include "placement/remedies_p.h"
#include "placement/reservations_p.h"
#include "placement/room_maker_p.h"
#include "placement/rooms_p.h"

namespace papayadrift::placement {

// Takes in one event, then makes one pass over the queues if it may have
// brought work or room.
class EventHandler {
 public:
  explicit EventHandler(Core& core);

  void Handle(const Event& event);

 private:
  // Whether a pass over the queues may find something new.
  enum class Effect { kNone, kPass };

  Effect Take(const Tick& event);
  Effect Take(const PolicyChanged& event);
  Effect Take(const WorkerUp& event);
  Effect Take(const WorkerAssigned& event);
  Effect Take(const WorkerDraining& event);
  Effect Take(const WorkerLapsed& event);
  Effect Take(const WorkerFreed& event);
  Effect Take(const WorkerQuarantined& event);
  Effect Take(const JobSubmitted& event);
  Effect Take(const JobCancelled& event);
  Effect Take(const JobRefused& event);
  Effect Take(const ClaimAccepted& event);
  Effect Take(const ClaimRejected& event);
  Effect Take(const TaskStarted& event);
  Effect Take(const TaskEnded& event);
  Effect Take(const GrantConfirmed& event);
  Effect Take(const GrantRecorded& event);
  Effect Take(const GrantRefused& event);
  Effect Take(const UsageReported& event);
  Effect Take(const LatencyReported& event);
  Effect Take(const KnowledgeNoted& event);
  Effect Take(const RegionCutOff& event);
  Effect Take(const RegionRejoined& event);

  // Returns the task if this is its last attempt and it may still run.
  TaskState* FindLive(const TaskId& id, Attempt attempt);
  void MakeRoomForRunners(WorkerState& worker);
  void EndForGood(TaskState& task, const TaskEnded& event);

  Core& core_;
  Rooms rooms_;
  RoomMaker room_maker_;
  Reservations reservations_;
  Placer placer_;
  Quarantines quarantines_;
  Remedies remedies_;
  Regrants regrants_;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_EVENT_HANDLER_P_H_
