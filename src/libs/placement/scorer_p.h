#ifndef PAPAYADRIFT_PLACEMENT_SCORER_P_H_
#define PAPAYADRIFT_PLACEMENT_SCORER_P_H_

#include "placement/scheduler_core_p.h"

namespace papayadrift::placement {

// Evaluation of running a task on a worker.
struct Score {
  double cost = 0;        // Lower is better.
  double pressure = 0;    // Highest expected p99 of its services over target.
  bool is_risky = false;  // A service may come too close to its target.
  // The harm to a service exceeds the value of the work, by its customer's
  // weights.
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
  // Returns the maximum expected p99 over target that placements may cause, for
  // the customer's weights.
  static double Limit(const ServiceTerms& terms);
  // Returns the increase of tail cost that equals the value of one worker's
  // work.
  static double WorkValue(const ServiceTerms& terms);

 private:
  Score ComputeScore(WorkerState& worker,
                     const JobState& job,
                     const Resources& grant) const;

  const SchedulerCore& core_;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_SCORER_P_H_
