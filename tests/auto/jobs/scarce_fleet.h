#ifndef PAPAYADRIFT_TESTS_JOBS_SCARCE_FLEET_H_
#define PAPAYADRIFT_TESTS_JOBS_SCARCE_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jobs/job_scheduler.h"

namespace papayadrift::jobs {

// Tasks that are alike: what they need, and how long they take.
struct WorkKind {
  std::string name;  // Of their queue.
  Resources need;
  int64_t duration_ms = 0;   // 0: they don't end.
  int64_t estimated_ms = 0;  // As callers state it.
  uint32_t priority = 0;
  bool is_filler = false;
};

// A leader's scheduler with emulated runners that carry out its orders, and an
// emulated store. Time moves in steps of 20 ms.
class ScarceFleet {
 public:
  ScarceFleet(const JobSchedulerSettings& settings,
              std::vector<WorkKind> kinds,
              uint32_t runners,
              const Resources& capacity);

  // Submits a job with one step of `tasks` tasks; returns its number.
  uint32_t Submit(const std::string& kind, uint32_t tasks);
  // Lets so much time pass; `each_step` is called before each step.
  template <typename EachStep>
  void Run(milliseconds time, const EachStep& each_step) {
    for (const Instant end = now_ + time; now_ < end;) {
      each_step();
      Step();
    }
  }
  void Run(milliseconds time) {
    Run(time, [] {});
  }

  // From now on, the runner is lost, is draining, or has this capacity.
  void Lose(uint32_t runner) { runners_[runner].is_lost = true; }
  void Drain(uint32_t runner) {
    runners_[runner].state = RunnerState::kDraining;
  }
  void Shrink(uint32_t runner, const Resources& capacity) {
    runners_[runner].capacity = capacity;
  }
  // Another scheduler takes over from what is stored.
  void ChangeLeader();

  // When all tasks of the job had started; std::nullopt: not yet.
  std::optional<milliseconds> StartedAfter(uint32_t job) const;
  // The longest time from submission to the last start of a job's tasks, among
  // all jobs of the kind; those that wait count until now.
  milliseconds LongestWait(const std::string& kind) const;
  // The runner that is reserved for capacity, if there is one.
  std::optional<uint32_t> ReservedRunner() const;
  size_t ReservedRunners() const;
  size_t RunningTasks(uint32_t job) const;

  const JobScheduler& scheduler() const { return *scheduler_; }
  const std::vector<JobSchedulerEvent>& events() const { return events_; }
  Instant now() const { return now_; }

 private:
  struct EmulatedRun {
    uint32_t number = 0;
    Instant started_at;
    const WorkKind* kind = nullptr;
  };
  struct EmulatedRunner {
    RunnerIncarnation incarnation;
    Resources capacity;
    RunnerState state = RunnerState::kReady;
    bool is_lost = false;
    std::map<TaskKey, EmulatedRun> runs;
    std::vector<EndedRun> ended;
    uint64_t ends = 0;
    Instant reported_at;
  };
  struct SubmittedJob {
    const WorkKind* kind = nullptr;
    uint32_t tasks = 0;
    Instant submitted_at;
    std::map<TaskKey, Instant> started_at;
  };

  void Step();
  void EndRuns(EmulatedRunner& runner);
  void Report(EmulatedRunner& runner);
  void Decide();
  void Execute(const RunnerIncarnation& incarnation, const Order& order);
  void MakeScheduler();
  int64_t NowMs() const;

  const JobSchedulerSettings settings_;
  const std::vector<WorkKind> kinds_;
  RouteTable routes_;
  Instant now_ = Instant(seconds(10));
  std::vector<EmulatedRunner> runners_;
  std::vector<SubmittedJob> jobs_;
  std::map<JobId, Job> submitted_;
  std::map<JobId, StoredProgress> stored_;
  std::vector<JobSchedulerEvent> events_;
  std::unique_ptr<JobScheduler> scheduler_;
};

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_TESTS_JOBS_SCARCE_FLEET_H_
