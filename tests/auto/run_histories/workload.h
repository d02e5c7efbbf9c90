#ifndef PAPAYADRIFT_TESTS_RUN_HISTORIES_WORKLOAD_H_
#define PAPAYADRIFT_TESTS_RUN_HISTORIES_WORKLOAD_H_

#include <cstddef>
#include <vector>

#include "base/instant.h"
#include "jobs/job.h"
#include "jobs/route_table.h"

namespace papayadrift::run_histories {

inline constexpr size_t kJobs = 3;
inline constexpr uint32_t kMaxFailures = 2;

// The jobs of all histories: one of two short tasks, one of two steps of which
// the second is longer, and one that lasts.
const std::vector<jobs::Job>& Jobs();
JobId IdOf(size_t job);
// Returns the index of the job of this task.
size_t JobOf(const jobs::TaskKey& task);
const jobs::Step& StepOfTask(const jobs::TaskKey& task);
// How long a run of the task takes.
milliseconds DurationOf(const jobs::TaskKey& task);
std::vector<jobs::TaskKey> TasksOf(size_t job);
jobs::RouteTable Routes();

}  // namespace papayadrift::run_histories

#endif  // PAPAYADRIFT_TESTS_RUN_HISTORIES_WORKLOAD_H_
