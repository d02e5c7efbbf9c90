#ifndef PAPAYADRIFT_CLUSTER_CLUSTER_METRICS_H_
#define PAPAYADRIFT_CLUSTER_CLUSTER_METRICS_H_

#include <string>

#include "base/instant.h"
#include "cluster/job_frontend.h"
#include "cluster/leader_load.h"
#include "jobs/job_scheduler.h"
#include "metrics/registry.h"

namespace papayadrift::cluster {

// Metrics of a frontend and of the leader in it.
class ClusterMetrics {
 public:
  explicit ClusterMetrics(metrics::Registry& registry);

  void OnSubmitted(SubmitResult result, microseconds duration);
  void OnSchedulerEvent(const jobs::JobSchedulerEvent& event);
  // Sets the gauges of the leader; they are 0 in a process that does not lead.
  void UpdateLeaderGauges(uint64_t term,
                          size_t open_jobs,
                          size_t waiting_tasks,
                          const jobs::OverdueCounts& overdue);
  // Sets the gauges of evacuated zones and of runs that are left there.
  void UpdateEvacuations(size_t zones, size_t runs);
  // Adds what reservations have done since the last call for this scheduler; a
  // new one begins at 0.
  void UpdateReservations(const jobs::ReservationCounts& counts);
  // Sets for how long no leader has been seen.
  void UpdateLeaderless(milliseconds duration);
  void OnAppendStored(microseconds duration);
  void OnStep(microseconds duration);
  void OnWork(WorkKind kind, uint64_t count, microseconds time);
  // A read of the stored jobs by the leader.
  void OnJobsRead(bool is_read);
  void OnReportOvertaken();
  // Sets how late the leader begins its rounds, and the age of what it knows of
  // the stored jobs.
  void UpdateLag(microseconds lag, microseconds view_age);

 private:
  metrics::Registry& registry_;
  metrics::Histogram& submit_seconds_;
  metrics::Histogram& store_seconds_;
  metrics::Histogram& step_seconds_;
  metrics::Gauge& term_;
  metrics::Gauge& open_jobs_;
  metrics::Gauge& waiting_tasks_;
  metrics::Gauge& overdue_starts_;
  metrics::Gauge& overdue_stops_;
  metrics::Gauge& overdue_leases_;
  metrics::Gauge& evacuated_zones_;
  metrics::Gauge& evacuated_runs_;
  metrics::Gauge& leaderless_;
  metrics::Gauge& lag_;
  metrics::Gauge& view_age_;
  metrics::Counter& overtaken_reports_;
  jobs::ReservationCounts reservation_counts_;  // As of the last update.
};

}  // namespace papayadrift::cluster

#endif  // PAPAYADRIFT_CLUSTER_CLUSTER_METRICS_H_
