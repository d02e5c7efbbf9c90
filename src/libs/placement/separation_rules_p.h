#ifndef PAPAYADRIFT_PLACEMENT_SEPARATION_RULES_P_H_
#define PAPAYADRIFT_PLACEMENT_SEPARATION_RULES_P_H_

#include <optional>
#include <unordered_set>

#include "placement/task_state_p.h"

namespace papayadrift::placement {

// Says where the separations of all jobs let a task stand. It counts the tasks
// of spread jobs by failure domain.
class SeparationRules {
 public:
  // Takes note of the kinds that a new job is to be apart from.
  void AddJob(const JobState& job);
  // Counts an attempt on its worker, or no longer.
  static void Count(const TaskState& task);
  static void Discount(const TaskState& task);

  // Returns why no further task of the job may stand on the worker, or nothing
  // when one may.
  std::optional<WaitReason> WhyNot(const JobState& job,
                                   const WorkerState& worker) const;

 private:
  std::unordered_set<KindNumber> avoided_kinds_;  // By any job so far.
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_SEPARATION_RULES_P_H_
