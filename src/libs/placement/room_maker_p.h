#ifndef PAPAYADRIFT_PLACEMENT_ROOM_MAKER_P_H_
#define PAPAYADRIFT_PLACEMENT_ROOM_MAKER_P_H_

#include <optional>
#include <vector>

#include "placement/rooms_p.h"

namespace papayadrift::placement {

// Makes room for urgent work, and for teams that are owed room that others
// have borrowed. The room is held until it is there, then claimed.
class RoomMaker {
 public:
  RoomMaker(Core& core, Rooms& rooms);

  // Starts to make room for one task of the job, if that is allowed; returns
  // whether room is being made for all its pending tasks.
  bool MakeRoom(JobState& job, const Resources& grant);

 private:
  // Tasks of one worker that would give way.
  struct Plan {
    WorkerState* worker = nullptr;
    std::vector<TaskState*> throttled;
    std::vector<TaskState*> stopped;
    double cost = 0;
  };

  std::optional<EvictionReason> WhyAllowed(const JobState& job,
                                           const Resources& grant) const;
  std::optional<Plan> PlanFor(WorkerState& worker,
                              const Resources& grant,
                              EvictionReason reason);
  bool PlanThrottles(Plan& plan, const Resources& missing) const;
  bool PlanStops(Plan& plan, const Resources& missing, EvictionReason reason);
  bool MayGiveWay(const TaskState& task, EvictionReason reason) const;
  void Carry(const Plan& plan,
             JobState& job,
             const Resources& grant,
             EvictionReason reason);

  Core& core_;
  Rooms& rooms_;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_ROOM_MAKER_P_H_
