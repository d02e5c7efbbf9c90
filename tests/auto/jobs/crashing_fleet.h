#ifndef PAPAYADRIFT_TESTS_JOBS_CRASHING_FLEET_H_
#define PAPAYADRIFT_TESTS_JOBS_CRASHING_FLEET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jobs/job_scheduler.h"

namespace papayadrift::jobs {

// Drives a scheduler on a manual clock with an emulated store and emulated
// runners, some of whose tasks crash every runner that starts them. A crashed
// runner is back after three seconds.
class CrashingFleet {
 public:
  explicit CrashingFleet(uint32_t runners);

  // A job of one step of sound tasks of 500 ms each.
  static Job JobOf(uint32_t tasks);

  void AddJob(const JobId& id, Job job);
  void MakeDeadly(const TaskKey& task) { deadly_.insert(task); }
  // Crashes the runner for another reason, if it is up.
  void CrashRunner(uint32_t number);
  // The same for the runner of the task, which has `later_capacity` from then
  // on.
  void CrashRunnerOf(const TaskKey& task, const Resources& later_capacity);
  void SetCapacity(uint32_t number, const Resources& capacity);
  // A new leader takes over what the last one has stored.
  void ReplaceLeader();
  void RunFor(milliseconds duration);

  int64_t now_ms() const { return now_ms_; }
  JobOutcome OutcomeOf(const JobId& id) const;
  // Number of starts that a runner has carried out.
  uint32_t StartsOf(const TaskKey& task) const;
  uint32_t crashes() const { return crashes_; }
  bool IsRunning(const TaskKey& task) const;
  // Number of starts that brought a runner over its capacity.
  uint32_t overbookings() const { return overbookings_; }

 private:
  struct Task {
    uint32_t run = 0;
    int64_t started_ms = 0;
    Resources need;
    bool is_long_running = false;
  };
  struct EmulatedRunner {
    RunnerIncarnation incarnation;
    Resources capacity{16000, 64000, 0};
    std::map<TaskKey, Task> tasks;
    std::vector<EndedRun> ended;
    uint64_t ends = 0;
    int64_t reported_ms = -1000;
    int64_t crashed_ms = 0;  // 0: it is up.
    std::optional<CrashTime> earlier_crash;
    bool is_report_due = false;
    bool is_crash_reported = false;
  };

  void Step();
  void Progress(EmulatedRunner& runner);
  void Crash(EmulatedRunner& runner);
  // Ends the other members of the task's gang, as their runners do when one is
  // lost.
  void BreakGang(const EmulatedRunner& crashed, const TaskKey& task);
  void Report(EmulatedRunner& runner);
  void Store();
  OrderResult Execute(EmulatedRunner& runner, const Order& order);
  Instant Now() const { return Instant(milliseconds(now_ms_)); }

  int64_t now_ms_ = 1000;
  RouteTable routes_;
  std::map<JobId, Job> jobs_;
  std::map<JobId, StoredProgress> stored_;
  std::set<TaskKey> deadly_;
  std::map<TaskKey, uint32_t> starts_;
  uint32_t crashes_ = 0;
  uint32_t overbookings_ = 0;
  std::vector<EmulatedRunner> runners_;
  std::optional<JobScheduler> scheduler_;
};

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_TESTS_JOBS_CRASHING_FLEET_H_
