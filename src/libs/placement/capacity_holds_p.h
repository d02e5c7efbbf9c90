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

// What a room on a worker is kept for.
enum class HoldPurpose {
  kPreemption,  // Others were stopped or throttled for it.
  kReserved,    // It comes free as others end.
  kMove,        // A task that is being stopped elsewhere resumes there.
};

// Rooms on workers that are kept for certain jobs until all of their amount is
// there, then claimed. Nothing else is placed in them meanwhile.
class CapacityHolds {
 public:
  explicit CapacityHolds(SchedulerCore& core);

  // Keeps a room for one pending task of the job.
  void AddHold(JobState& job,
               WorkerState& worker,
               const Resources& amount,
               HoldPurpose use,
               Instant expires_at);
  // Keeps a room for a task that is being stopped.
  void AddForMove(const TaskState& task,
                  WorkerState& worker,
                  const Resources& amount,
                  Instant expires_at);
  // Claims on the rooms that are there by now and gives up old ones.
  void ClaimReady();

  size_t size() const { return holds_.size(); }
  size_t CountOf(HoldPurpose use) const;
  bool HasReserved(const JobState& job) const;
  // Returns some workers on which room may be kept for one more task of the
  // job, whatever runs there.
  std::vector<WorkerState*> Candidates(JobState& job, const Resources& grant);

 private:
  enum class Readiness { kWaits, kReady, kOver };

  struct CapacityHold {
    JobId job;
    std::optional<uint32_t> task;  // Only this one, if set.
    WorkerState* worker = nullptr;
    Resources amount;
    HoldPurpose use = HoldPurpose::kPreemption;
    Instant expires_at;
  };

  // Whether the job may have one more task on the worker, those that rooms are
  // kept for included.
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
