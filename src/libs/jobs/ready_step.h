#ifndef PAPAYADRIFT_JOBS_READY_STEP_H_
#define PAPAYADRIFT_JOBS_READY_STEP_H_

#include <cstdint>

#include "jobs/job_scheduler.h"
#include "jobs/job_tally.h"
#include "jobs/work_order.h"

namespace papayadrift::jobs {

// A step with waiting tasks, and its place in the scheduling order.
struct JobScheduler::ReadyStep {
  WorkRank rank;
  const JobId* id = nullptr;
  Entry* entry = nullptr;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  const Queue* queue = nullptr;
  int64_t remaining_ms = 0;
  StepTally tally;  // As of the beginning of the round.
};

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_READY_STEP_H_
