#ifndef PAPAYADRIFT_JOBS_PACER_H_
#define PAPAYADRIFT_JOBS_PACER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "base/instant.h"
#include "jobs/fleet.h"
#include "jobs/job.h"
#include "jobs/runner.h"

namespace papayadrift::jobs {

// Slows fillers down while a task that serves users beside them is over its
// tail target. Answers waves of load on serving tasks: the share falls by half
// as soon as one is over, and rises in steps while all are well below.
class Pacer {
 public:
  // A serving task on the runner: how its tail compares to its target.
  struct Tail {
    int64_t latency_ms = 0;
    int64_t target_ms = 0;
  };

  // Returns the share in percent that fillers of this runner may work at now.
  uint32_t Decide(const RunnerLife& life,
                  const std::vector<Tail>& tails,
                  Instant now);
  void Forget(const RunnerLife& life) { states_.erase(life); }

 private:
  struct State {
    uint32_t percent = 100;
    Instant changed_at;
  };

  std::map<RunnerLife, State> states_;
};

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_PACER_H_
