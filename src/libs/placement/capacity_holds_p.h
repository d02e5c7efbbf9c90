#ifndef PAPAYADRIFT_PLACEMENT_CAPACITY_HOLDS_P_H_
#define PAPAYADRIFT_PLACEMENT_CAPACITY_HOLDS_P_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <vector>

#include "placement/allowed_workers_p.h"
#include "placement/scheduler_core_p.h"
#include "placement/scorer_p.h"

namespace papayadrift::placement {

// Purpose of held capacity.
enum class HoldPurpose {
  kPreemption,  // Freed by stopping or throttling other tasks.
  kReserved,    // Freed as other tasks end.
  kMove,        // For a task that is being moved from another worker.
};

// Capacity held on workers for specific jobs until the full amount is free,
// then claimed. No other task is placed there meanwhile.
class CapacityHolds {
 public:
  explicit CapacityHolds(SchedulerCore& core);

  // Holds capacity for one pending task of the job.
  void AddHold(JobState& job,
               WorkerState& worker,
               const Resources& amount,
               HoldPurpose use,
               Instant expires_at);
  // Holds capacity for a task that is being stopped.
  void AddForMove(const TaskState& task,
                  WorkerState& worker,
                  const Resources& amount,
                  Instant expires_at);
  // Claims the holds that are free by now and drops expired ones.
  void ClaimReady();

  size_t size() const { return holds_.size(); }
  size_t CountOf(HoldPurpose use) const;
  bool HasReserved(const JobState& job) const;
  // Returns some workers that the separation rules allow for one more task of
  // the job, regardless of their free capacity.
  std::vector<WorkerState*> Candidates(JobState& job, const Resources& grant);

 private:
  enum class Readiness { kWaits, kReady, kOver };

  struct CapacityHold {
    JobId job;
    std::optional<uint32_t> task;  // Restricts the hold to this task, if set.
    WorkerState* worker = nullptr;
    Resources amount;
    HoldPurpose use = HoldPurpose::kPreemption;
    Instant expires_at;
  };

  // Whether the separation rules allow one more task of the job on the worker,
  // counting the tasks with holds.
  bool IsAllowedOn(const JobState& job, const WorkerState& worker) const;
  Readiness ReadinessOf(const CapacityHold& hold) const;
  bool IsNeeded(const CapacityHold& hold) const;
  void Claim(const CapacityHold& hold, JobState& job);

  SchedulerCore& core_;
  AllowedWorkers allowed_;
  Scorer scorer_;
  std::list<CapacityHold> holds_;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_CAPACITY_HOLDS_P_H_
