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

// All workers, and the ledger of what is committed on each. Whatever changes a
// worker's free room goes through here, so that the index stays true.
class Fleet {
 public:
  explicit Fleet(uint64_t seed);

  // Enters a worker or replaces its description.
  WorkerState& Announce(const WorkerUp& event);
  void SetPhase(WorkerState& worker, WorkerPhase phase);
  void SetAssigned(WorkerState& worker, bool is_assigned);

  // Counts an attempt on a worker, or changes what it counts for.
  void Attach(WorkerState& worker, TaskState& task, const Resources& amount);
  void Recommit(TaskState& task, const Resources& amount);
  // Stops counting the attempt; the task has no worker then.
  void Detach(TaskState& task);
  void Hold(WorkerState& worker, const Resources& amount);
  void ReleaseHold(WorkerState& worker, const Resources& amount);
  // Keeps the index true after a change of quarantine.
  void Reindex(WorkerState& worker);

  WorkerState* Find(const WorkerId& id);
  const WorkerState* Find(const WorkerId& id) const;
  const std::vector<std::unique_ptr<WorkerState>>& workers() const {
    return workers_;
  }
  // Workers that are not freed, in the order of racks.
  const std::map<RackPosition, WorkerState*>& by_rack() const {
    return by_rack_;
  }
  std::vector<WorkerState*> Draw(const Resources& need, size_t count);
  std::vector<WorkerState*> DrawAny(bool with_accelerators, size_t count);

  // Of all workers that are up, less what is set aside for runners.
  const Resources& total() const { return total_; }
  // Most that any known worker offers of each amount.
  const Resources& largest() const { return largest_; }
  size_t up() const { return up_; }
  // Workers up that this scheduler claims on.
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
