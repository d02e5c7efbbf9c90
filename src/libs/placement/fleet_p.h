#ifndef PAPAYADRIFT_PLACEMENT_FLEET_P_H_
#define PAPAYADRIFT_PLACEMENT_FLEET_P_H_

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "placement/candidate_index_p.h"
#include "placement/event.h"
#include "placement/task_state_p.h"

namespace papayadrift::placement {

// All workers and the resources committed on each. Every change of a worker's
// free capacity goes through this class, which keeps the index consistent.
class Fleet {
 public:
  explicit Fleet(uint64_t seed);

  // Adds a worker or replaces its description.
  WorkerState& Announce(const WorkerUp& event);
  void SetPhase(WorkerState& worker, WorkerPhase phase);
  void SetAssigned(WorkerState& worker, bool is_assigned);

  // Commits resources for an attempt on a worker, or changes their amount.
  void Attach(WorkerState& worker, TaskState& task, const Resources& amount);
  void Recommit(TaskState& task, const Resources& amount);
  // Releases the attempt's resources; the task then has no worker.
  void Detach(TaskState& task);
  void Hold(WorkerState& worker, const Resources& amount);
  void ReleaseHold(WorkerState& worker, const Resources& amount);
  // Updates the index after a change of the quarantine state.
  void Reindex(WorkerState& worker);

  WorkerState* Find(const WorkerId& id);
  const WorkerState* Find(const WorkerId& id) const;
  const std::vector<std::unique_ptr<WorkerState>>& workers() const {
    return workers_;
  }
  // Workers that are not freed, ordered by rack.
  const std::map<RackPosition, WorkerState*>& by_rack() const {
    return by_rack_;
  }
  std::vector<WorkerState*> Draw(const Resources& need, size_t count);
  std::vector<WorkerState*> DrawAny(bool with_accelerators, size_t count);

  // Capacity of all workers that are up, minus runner reservations.
  const Resources& total() const { return total_; }
  // Largest capacity of any known worker, per resource.
  const Resources& largest() const { return largest_; }
  size_t up() const { return up_; }
  // Returns the number of assigned workers that are up.
  size_t CountAssigned() const;

 private:
  std::vector<WorkerState*> ToStates(const std::vector<uint32_t>& numbers);
  void AddToTotals(const WorkerState& worker);
  void RemoveFromTotals(const WorkerState& worker);

  CandidateIndex index_;
  std::vector<std::unique_ptr<WorkerState>> workers_;
  std::unordered_map<WorkerId, WorkerState*> by_id_;
  std::map<RackPosition, WorkerState*> by_rack_;
  Resources total_;
  Resources largest_;
  size_t up_ = 0;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_FLEET_P_H_
