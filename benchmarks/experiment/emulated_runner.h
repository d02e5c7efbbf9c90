#ifndef PAPAYADRIFT_BENCHMARKS_EXPERIMENT_EMULATED_RUNNER_H_
#define PAPAYADRIFT_BENCHMARKS_EXPERIMENT_EMULATED_RUNNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "base/instant.h"
#include "jobs/job.h"
#include "jobs/runner.h"
#include "measures.h"
#include "workload.h"

namespace papayadrift::experiment {

// The step and the amount of work of a task.
struct TaskFacts {
  const jobs::Step* step = nullptr;
  milliseconds work{0};  // At full pace; services have none.
};
using FindTask = std::function<TaskFacts(const jobs::TaskKey&)>;

// Emulates a runner with its agent: executes orders, runs tasks as fast as the
// tasks beside them allow, and reports gauges that are noisy and half a second
// old.
class EmulatedRunner {
 public:
  EmulatedRunner(const Workload& workload,
                 const GroundTruth& ground_truth,
                 const FindTask& find_task,
                 uint32_t number,
                 uint64_t seed);

  // Advances by one time step; returns whether a report is due at once.
  bool Step(Instant now, milliseconds step, Measures& measures);
  // Returns the current report, including ends that were not acknowledged.
  jobs::RunnerReport Report(Instant now) const;
  void AcknowledgeEnds(uint64_t recorded);
  jobs::OrderResult Execute(const jobs::Order& order, Instant now);
  // Loses all tasks and starts a new incarnation.
  void Crash(Instant now, Measures& measures);
  const jobs::RunnerIncarnation& incarnation() const { return incarnation_; }

 private:
  struct Task {
    uint32_t run = 0;
    const jobs::Step* step = nullptr;
    milliseconds work{0};
    double done_ms = 0;   // Of the work.
    double saved_ms = 0;  // Part of the work that the last checkpoint covers.
    uint32_t pace_percent = 100;
    Instant paced_at;
    uint32_t next_pace_percent = 100;
    double speed = 0;    // Current fraction of full speed.
    double phase = 0;    // Phase of a serving task's load, in periods.
    double tail_ms = 0;  // Smoothed over half a second.
    double use = 0;      // Smoothed processor use, in millicores.
    int64_t gauge = 0;
  };
  using Tasks = std::map<jobs::TaskKey, Task>;

  jobs::OrderResult Start(const jobs::StartOrder& order, Instant now);
  jobs::OrderResult Stop(const jobs::StopOrder& order, Instant now);
  jobs::OrderResult SetPace(const jobs::PaceOrder& order, Instant now);
  double LoadOf(const Task& task, Instant now) const;
  // Returns the load that fillers add to tasks of an image at their current
  // speeds.
  double DisturbanceOf(const std::string& serving_image) const;
  void ShareProcessors(Instant now);
  void RunServing(Task& task,
                  Instant now,
                  milliseconds step,
                  Measures& measures);
  bool RunBatch(const jobs::TaskKey& key,
                Task& task,
                milliseconds step,
                Measures& measures);
  void ReadGauges(Instant now);
  void End(const jobs::TaskKey& key, const Task& task, jobs::RunEnd end);
  static std::string CheckpointOf(double saved_ms);

  const Workload& workload_;
  const GroundTruth& ground_truth_;
  const FindTask& find_task_;
  const uint32_t number_;
  pcg64 random_;
  jobs::RunnerIncarnation incarnation_;
  Tasks tasks_;
  std::map<jobs::TaskKey, uint32_t> stopped_;  // Highest run.
  std::vector<jobs::EndedRun> ended_;
  uint64_t ends_ = 0;
  Instant gauges_read_at_;
};

}  // namespace papayadrift::experiment

#endif  // PAPAYADRIFT_BENCHMARKS_EXPERIMENT_EMULATED_RUNNER_H_
