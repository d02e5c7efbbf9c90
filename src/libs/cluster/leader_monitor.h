#ifndef PAPAYADRIFT_CLUSTER_LEADER_MONITOR_H_
#define PAPAYADRIFT_CLUSTER_LEADER_MONITOR_H_

#include <cstdint>
#include <optional>

#include "base/instant.h"
#include "cluster/leader_load.h"
#include "cluster/process_context.h"
#include "jobs/job_scheduler.h"
#include "logging/event.h"

namespace papayadrift::cluster {

class ClusterMetrics;

struct LeaderMonitorSettings {
  LeaderLoadSettings load;
  // Period at which the work done is added to the metrics, and logged by a
  // leader that is behind.
  milliseconds period{1000};

  friend bool operator==(const LeaderMonitorSettings&,
                         const LeaderMonitorSettings&) = default;
};

// Tells logs and metrics what a leader decides and what it spends its time on:
// whether it keeps up, and rounds of decisions that take long.
class LeaderMonitor {
 public:
  LeaderMonitor(const LeaderMonitorSettings& settings,
                const ProcessContext& context,
                ClusterMetrics& metrics);

  // Adds the time since `started_at` to the work of that kind.
  void OnWork(WorkKind kind, uint64_t count, Instant started_at);
  // A read of the stored jobs has ended.
  void OnJobsRead(bool is_read, microseconds time);
  // A round of decisions begins `lag` later than it was due, with all jobs that
  // were stored by `viewed_at`.
  void OnRound(uint64_t term,
               const jobs::JobScheduler& scheduler,
               microseconds lag,
               Instant viewed_at);
  // A round of decisions that began at `started_at` has ended; `before` is the
  // work of placement until then.
  void OnStep(uint64_t term,
              const jobs::JobScheduler& scheduler,
              const jobs::PlacementWork& before,
              Instant started_at);

  void OnSchedulerEvent(uint64_t term,
                        const jobs::JobSchedulerEvent& event) const;

  bool is_behind() const { return load_.is_behind(); }
  // Unset while the leader keeps up.
  std::optional<Behind> behind() const { return load_.behind(); }

 private:
  void LogLoad(logging::Event event,
               uint64_t term,
               const jobs::JobScheduler& scheduler,
               const WorkSums& work);

  const LeaderMonitorSettings settings_;
  const ProcessContext context_;
  ClusterMetrics& metrics_;
  LeaderLoad load_;
  Instant reported_at_;
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_LEADER_MONITOR_H_
