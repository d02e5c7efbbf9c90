#ifndef PAPAYADRIFT_TESTS_JOBS_JOB_SCHEDULER_FIXTURE_H_
#define PAPAYADRIFT_TESTS_JOBS_JOB_SCHEDULER_FIXTURE_H_

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "jobs/job_scheduler.h"

namespace papayadrift::jobs {

inline const RunnerIncarnation kFirst{"node-1", "i-1", 1000};
inline const RunnerIncarnation kSecond{"node-2", "i-2", 1000};

Instant At(int64_t ms);

// Drives a scheduler with an emulated store and emulated runners.
class JobSchedulerTest : public testing::Test {
 protected:
  using RunnerOrders = std::vector<std::pair<RunnerIncarnation, Order>>;

  explicit JobSchedulerTest(const JobSchedulerSettings& settings = {});

  static RouteTable Routes();
  static Job JobOf(uint32_t tasks, int64_t millicores);
  static size_t CountStarts(const RunnerOrders& orders);

  RunnerReport ReportOf(const RunnerIncarnation& incarnation) const;
  // Reports lists that are as new as the report, and grants a lease.
  void Report(const RunnerIncarnation& incarnation,
              int64_t now_ms,
              std::vector<ActiveRun> active = {},
              std::vector<EndedRun> ended = {});
  void Store() { Store(scheduler_); }
  void Store(JobScheduler& scheduler);
  // Places tasks, stores the claims and returns the orders that are due.
  RunnerOrders Orders(int64_t now_ms) { return Orders(scheduler_, now_ms); }
  RunnerOrders Orders(JobScheduler& scheduler, int64_t now_ms);
  TaskKey Task(uint32_t index) const { return {JobId("a"), 0, 0, index}; }

  std::vector<JobSchedulerEvent> events_;
  JobScheduler scheduler_;
  std::map<JobId, StoredProgress> stored_;
  size_t stored_tasks_ = 0;  // Number of task records written.
};

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_TESTS_JOBS_JOB_SCHEDULER_FIXTURE_H_
