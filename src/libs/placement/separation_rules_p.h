#ifndef PAPAYADRIFT_PLACEMENT_SEPARATION_RULES_P_H_
#define PAPAYADRIFT_PLACEMENT_SEPARATION_RULES_P_H_

#include <optional>
#include <unordered_set>

#include "placement/task_state_p.h"

namespace papayadrift::placement {

// Decides on which workers the separation rules of all jobs allow a task.
// Counts the tasks of spread jobs by failure domain.
class SeparationRules {
 public:
  // Records the kinds that a new job must not share a worker with.
  void AddJob(const JobState& job);
  // Adds an attempt to the counts of its worker's domains, or removes it.
  static void Count(const TaskState& task);
  static void Discount(const TaskState& task);

  // Returns why no further task of the job may run on the worker, or nullopt if
  // one may.
  std::optional<WaitReason> WhyNot(const JobState& job,
                                   const WorkerState& worker) const;

 private:
  std::unordered_set<KindNumber> avoided_kinds_;  // By any job so far.
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_SEPARATION_RULES_P_H_
