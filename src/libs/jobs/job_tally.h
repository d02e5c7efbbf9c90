#ifndef PAPAYADRIFT_JOBS_JOB_TALLY_H_
#define PAPAYADRIFT_JOBS_JOB_TALLY_H_

#include <cstdint>
#include <vector>

#include "jobs/job.h"

namespace papayadrift::jobs {

// Counts over the tasks of one step of an occurrence.
struct StepTally {
  uint32_t open = 0;  // Tasks that are not done.
  uint32_t waiting = 0;
  bool has_crashed = false;  // Runners have crashed under a waiting task.
  // Tasks may start once the occurrence is due.
  bool may_start = false;

  friend bool operator==(const StepTally&, const StepTally&) = default;
};

using OccurrenceTally = std::vector<StepTally>;  // By step.

// What decides which steps of a job are ready; it changes only with the job's
// progress.
struct JobTally {
  std::vector<OccurrenceTally> occurrences;  // Those that are kept.
  bool may_start = false;                    // One of the steps may.

  friend bool operator==(const JobTally&, const JobTally&) = default;
};

JobTally TallyOf(const Job& job, const JobProgress& progress);

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_JOB_TALLY_H_
