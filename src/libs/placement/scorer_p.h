#ifndef PAPAYADRIFT_PLACEMENT_SCORER_P_H_
#define PAPAYADRIFT_PLACEMENT_SCORER_P_H_

#include "placement/scheduler_core_p.h"

namespace papayadrift::placement {

// What it would mean to run a task on a worker.
struct Score {
  double cost = 0;        // Lower is better.
  double pressure = 0;    // Highest expected p99 of its services over target.
  bool is_risky = false;  // A service may come too close to its target.
  // A service suffers more than the work is worth, for its customer's weights.
  bool is_too_harmful = false;
};

// Weighs the expected tail latency of a worker's services against throughput,
// with the weights of their customer.
class Scorer {
 public:
  explicit Scorer(const SchedulerCore& core);

  // The grant must fit.
  Score Evaluate(WorkerState& worker,
                 const JobState& job,
                 const Resources& grant) const;
  // Returns how far over the target a service may be expected to come, for
  // its customer's weights.
  static double Limit(const ServiceTerms& terms);
  // Returns the growth of tail costs that the work of a whole worker is worth.
  static double WorkValue(const ServiceTerms& terms);

 private:
  Score ComputeScore(WorkerState& worker,
                     const JobState& job,
                     const Resources& grant) const;

  const SchedulerCore& core_;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_SCORER_P_H_
