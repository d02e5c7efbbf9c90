#include "cluster/cluster_metrics.h"

#include <utility>

namespace papayadrift::cluster {
namespace {

const char* ToText(SubmitResult result) {
  switch (result) {
    case SubmitResult::kAccepted:
      return "accepted";
    case SubmitResult::kTooLarge:
      return "too_large";
    case SubmitResult::kNotStored:
      return "not_stored";
    case SubmitResult::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

ClusterMetrics::ClusterMetrics(metrics::Registry& registry)
    : registry_(registry),
      submit_seconds_(registry.AddHistogram(
          "papayadrift_submit_seconds",
          "Time from a job's arrival to the answer whether it is stored.")),
      store_seconds_(registry.AddHistogram(
          "papayadrift_progress_append_seconds",
          "Time in which the store answers the leader's appends.")),
      step_seconds_(registry.AddHistogram(
          "papayadrift_leader_step_seconds",
          "Time that the leader takes for one round of decisions.")),
      term_(registry.AddGauge("papayadrift_leader_term",
                              "Term in which this process leads.")),
      open_jobs_(registry.AddGauge("papayadrift_open_jobs",
                                   "Jobs that the leader has not ended.")),
      waiting_tasks_(registry.AddGauge(
          "papayadrift_waiting_tasks",
          "Tasks whose turn has come and that no runner has room for.")),
      overdue_starts_(registry.AddGauge(
          "papayadrift_overdue_starts",
          "Tasks claimed for a runner and not known to run in time.")),
      overdue_stops_(registry.AddGauge(
          "papayadrift_overdue_stops",
          "Withdrawn runs that are not known to be gone in time.")),
      overdue_leases_(
          registry.AddGauge("papayadrift_runners_without_lease",
                            "Runners that report and have no lease.")),
      evacuated_zones_(
          registry.AddGauge("papayadrift_evacuated_zones",
                            "Availability zones that operators evacuate.")),
      evacuated_runs_(registry.AddGauge(
          "papayadrift_runs_in_evacuated_zones",
          "Runs on runners of evacuated availability zones.")),
      leaderless_(
          registry.AddGauge("papayadrift_leaderless_milliseconds",
                            "Time for which this process has seen no leader.")),
      lag_(registry.AddGauge(
          "papayadrift_leader_lag_milliseconds",
          "By how much the leader begins its rounds later than due.")),
      view_age_(registry.AddGauge(
          "papayadrift_leader_view_age_milliseconds",
          "Age of what the leader knows of the stored jobs.")),
      overtaken_reports_(registry.AddCounter(
          "papayadrift_overtaken_reports_total",
          "Reports dropped unread since a later one of their agent waits.")) {}

void ClusterMetrics::OnSubmitted(SubmitResult result, microseconds duration) {
  submit_seconds_.Record(duration);
  registry_
      .AddCounter("papayadrift_jobs_submitted_total",
                  "Jobs that callers handed in, by what they were told.",
                  {{"outcome", ToText(result)}})
      .Add();
}

void ClusterMetrics::OnSchedulerEvent(const jobs::JobSchedulerEvent& event) {
  registry_
      .AddCounter("papayadrift_board_changes_total",
                  "Decisions and changes of belief of the leader.",
                  {{"change", std::string(jobs::ToText(event.kind))}})
      .Add();
  using Kind = jobs::JobSchedulerEvent::Kind;
  if (event.kind == Kind::kEndUnmatched || event.kind == Kind::kEndInvalid) {
    registry_
        .AddCounter("papayadrift_unmatched_ends_total",
                    "Ends of runs that the leader did not hold for the runner, "
                    "by what became of them.",
                    {{"settlement", event.reason}})
        .Add();
  }
}

void ClusterMetrics::UpdateLeaderGauges(uint64_t term,
                                        size_t open_jobs,
                                        size_t waiting_tasks,
                                        const jobs::OverdueCounts& overdue) {
  term_.Set(static_cast<int64_t>(term));
  open_jobs_.Set(static_cast<int64_t>(open_jobs));
  waiting_tasks_.Set(static_cast<int64_t>(waiting_tasks));
  overdue_starts_.Set(static_cast<int64_t>(overdue.starts));
  overdue_stops_.Set(static_cast<int64_t>(overdue.stops));
  overdue_leases_.Set(static_cast<int64_t>(overdue.leases));
}

void ClusterMetrics::UpdateEvacuations(size_t zones, size_t runs) {
  evacuated_zones_.Set(static_cast<int64_t>(zones));
  evacuated_runs_.Set(static_cast<int64_t>(runs));
}

void ClusterMetrics::UpdateReservations(const jobs::ReservationCounts& counts) {
  using Counts = jobs::ReservationCounts;
  const std::pair<const char*, uint64_t Counts::*> kinds[] = {
      {"made", &Counts::made},           {"used", &Counts::used},
      {"given_up", &Counts::given_up},   {"released", &Counts::released},
      {"held_back", &Counts::held_back}, {"backfilled", &Counts::backfilled},
      {"forecasts", &Counts::forecasts}};
  for (const auto& [name, count] : kinds) {
    if (counts.*count > reservation_counts_.*count) {
      registry_
          .AddCounter("papayadrift_reservations_total",
                      "Reservations of capacity and their effects, by kind.",
                      {{"kind", name}})
          .Add(counts.*count - reservation_counts_.*count);
    }
  }
  reservation_counts_ = counts;
}

void ClusterMetrics::UpdateLeaderless(milliseconds duration) {
  leaderless_.Set(duration.count());
}

void ClusterMetrics::OnAppendStored(microseconds duration) {
  store_seconds_.Record(duration);
}

void ClusterMetrics::OnWork(WorkKind kind, uint64_t count, microseconds time) {
  const metrics::Labels labels{{"kind", ToText(kind)}};
  registry_
      .AddCounter("papayadrift_leader_work_total",
                  "What the leader has handled, by kind.", labels)
      .Add(count);
  registry_
      .AddCounter("papayadrift_leader_work_microseconds_total",
                  "Time that the leader has spent, by kind of work.", labels)
      .Add(static_cast<uint64_t>(time.count()));
}

void ClusterMetrics::OnJobsRead(bool is_read) {
  registry_
      .AddCounter("papayadrift_leader_jobs_reads_total",
                  "The leader's reads of the stored jobs, by outcome.",
                  {{"outcome", is_read ? "read" : "failed"}})
      .Add();
}

void ClusterMetrics::OnReportOvertaken() {
  overtaken_reports_.Add();
}

void ClusterMetrics::UpdateLag(microseconds lag, microseconds view_age) {
  lag_.Set(std::chrono::floor<milliseconds>(lag).count());
  view_age_.Set(std::chrono::floor<milliseconds>(view_age).count());
}

void ClusterMetrics::OnStep(microseconds duration) {
  step_seconds_.Record(duration);
}

}  // namespace papayadrift::cluster
