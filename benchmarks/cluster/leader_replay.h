#ifndef PAPAYADRIFT_BENCHMARKS_CLUSTER_LEADER_REPLAY_H_
#define PAPAYADRIFT_BENCHMARKS_CLUSTER_LEADER_REPLAY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "cluster/cluster_metrics.h"
#include "cost_meter.h"
#include "emulated_runner.h"
#include "jobs/job_scheduler.h"
#include "logging/logger.h"
#include "measures.h"
#include "metrics/registry.h"
#include "workload.h"

namespace papayadrift::cluster {

// What a leader has handled.
struct LeaderCounts {
  uint64_t rounds = 0;
  uint64_t reports = 0;
  uint64_t claims = 0;
  uint64_t lines = 0;
  uint64_t orders = 0;
  uint64_t records = 0;
  uint64_t open_jobs = 0;  // Sum over the rounds.
  uint64_t runs = 0;       // Sum over the rounds.
};

// Replays a workload into the classes of a leader, as its event loop would use
// them but without I/O, and measures what each kind of work costs. Reports and
// orders are encoded and decoded as between processes.
class LeaderReplay {
 public:
  // Lines of the log go to `log_descriptor`.
  LeaderReplay(const experiment::Workload& workload,
               uint64_t seed,
               int log_descriptor);

  // Replays until `end` after the start.
  void RunUntil(milliseconds end);

  const CostMeter& meter() const { return meter_; }
  const LeaderCounts& counts() const { return counts_; }
  jobs::PlacementWork work() const { return scheduler_.fleet().work(); }

 private:
  int64_t UnixNow() const;
  jobs::RunnerIncarnation IncarnationOf(size_t runner) const;
  void SubmitJobs();
  void StepRunners();
  // Rounds of decisions until everything that has room is placed.
  void Decide();
  void Report(size_t runner);
  void Answer(size_t runner);
  // Appends what has changed; the store answers within the same tick.
  void Store();
  void Send(const jobs::RunnerIncarnation& incarnation,
            std::vector<jobs::Order> orders);
  // Writes what the scheduler has announced to log and metrics.
  void Announce();

  const experiment::Workload workload_;
  const experiment::GroundTruth ground_truth_;
  std::vector<experiment::Arrival> arrivals_;
  size_t next_arrival_ = 0;
  std::map<JobId, const experiment::Arrival*> known_;
  ManualClock clock_;
  const Instant started_at_ = clock_.Now();
  logging::Logger logger_;
  metrics::Registry registry_;
  ClusterMetrics metrics_{registry_};
  std::vector<jobs::JobSchedulerEvent> events_;  // Not announced yet.
  jobs::JobScheduler scheduler_;
  const experiment::FindTask find_task_;
  experiment::Measures measures_;
  std::vector<std::unique_ptr<experiment::EmulatedRunner>> runners_;
  std::map<std::string, size_t> runner_of_node_;
  jobs::PlacementWork work_before_round_;
  int64_t ticks_ = 0;
  CostMeter meter_;
  LeaderCounts counts_;
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_BENCHMARKS_CLUSTER_LEADER_REPLAY_H_
