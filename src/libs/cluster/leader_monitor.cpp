#include "cluster/leader_monitor.h"

#include "cluster/cluster_metrics.h"

namespace papayadrift::cluster {
namespace {

using logging::Event;

// A round of decisions that takes this long is logged: agents wait 250 ms for
// the answer to an order.
constexpr milliseconds kLongStep(100);

Event EventOf(const jobs::JobSchedulerEvent::Kind kind) {
  using Kind = jobs::JobSchedulerEvent::Kind;
  switch (kind) {
    case Kind::kRunClaimed:
    case Kind::kRunEnded:
    case Kind::kRunStopped:
    case Kind::kRunPaced:
    case Kind::kTargetMissed:
    case Kind::kTargetMet:
    case Kind::kEndUnmatched:
    case Kind::kCapacityReserved:
    case Kind::kReservationUsed:
    case Kind::kReservationEnded:
    case Kind::kTaskHeldBack:
      return Event::kRunChanged;
    case Kind::kEndAcknowledged:
      return Event::kRunEndAcknowledged;
    case Kind::kEndInvalid:
      return Event::kMessageUnreadable;
    case Kind::kRunWithdrawn:
    case Kind::kRunLost:
    case Kind::kTaskGivenUp:
    case Kind::kStopOverdue:
      return Event::kRunInterrupted;
    case Kind::kJobEnded:
      return Event::kJobEnded;
    case Kind::kZoneEvacuated:
    case Kind::kZoneReopened:
      return Event::kZoneChanged;
    default:
      return Event::kRunnerChanged;
  }
}

}  // namespace

LeaderMonitor::LeaderMonitor(const LeaderMonitorSettings& settings,
                             const ProcessContext& context,
                             ClusterMetrics& metrics)
    : settings_(settings),
      context_(context),
      metrics_(metrics),
      load_(settings.load) {}

void LeaderMonitor::OnWork(WorkKind kind, uint64_t count, Instant started_at) {
  load_.OnWork(kind, count, context_.clock.Now() - started_at);
}

void LeaderMonitor::OnJobsRead(bool is_read, microseconds time) {
  load_.OnJobsRead(is_read, time);
}

void LeaderMonitor::OnRound(uint64_t term,
                            const jobs::JobScheduler& scheduler,
                            microseconds lag,
                            Instant viewed_at) {
  const Instant now = context_.clock.Now();
  const LeaderLoad::Change change = load_.OnRound(now, lag, viewed_at);
  const bool is_due = now - reported_at_ >= settings_.period;
  if (change == LeaderLoad::Change::kNone && !is_due) {
    return;
  }
  reported_at_ = now;
  const WorkSums work = load_.TakeWork();
  for (size_t i = 0; i < kWorkKinds; ++i) {
    metrics_.OnWork(static_cast<WorkKind>(i), work.at(i).count,
                    work.at(i).time);
  }
  metrics_.UpdateLag(load_.smoothed_lag(), load_.view_age());
  if (change == LeaderLoad::Change::kCaughtUp) {
    LogLoad(Event::kLeaderCaughtUp, term, scheduler, work);
  } else if (load_.is_behind()) {
    LogLoad(Event::kLeaderBehind, term, scheduler, work);
  }
}

void LeaderMonitor::LogLoad(Event event,
                            uint64_t term,
                            const jobs::JobScheduler& scheduler,
                            const WorkSums& work) {
  const auto count_of = [&](WorkKind kind) {
    return static_cast<int64_t>(work.at(static_cast<size_t>(kind)).count);
  };
  const auto ms_of = [&](WorkKind kind) {
    return static_cast<int64_t>(std::chrono::floor<milliseconds>(
                                    work.at(static_cast<size_t>(kind)).time)
                                    .count());
  };
  const ReadSums reads = load_.TakeReads();
  const auto to_ms = [](microseconds time) {
    return static_cast<int64_t>(std::chrono::floor<milliseconds>(time).count());
  };
  context_.logger.Log(
      event,
      {{"term", static_cast<int64_t>(term)},
       {"view_age_ms", to_ms(load_.view_age())},
       {"lag_ms", to_ms(load_.smoothed_lag())},
       {"reads", static_cast<int64_t>(reads.count)},
       {"failed_reads", static_cast<int64_t>(reads.failed)},
       {"longest_read_ms", to_ms(reads.longest)},
       {"open_jobs", static_cast<int64_t>(scheduler.open_jobs())},
       {"waiting_tasks", static_cast<int64_t>(scheduler.waiting_tasks())},
       {"reports", count_of(WorkKind::kReports)},
       {"reports_ms", ms_of(WorkKind::kReports)},
       {"rounds", count_of(WorkKind::kPlacement)},
       {"placement_ms", ms_of(WorkKind::kPlacement)},
       {"records", count_of(WorkKind::kAppends)},
       {"appends_ms", ms_of(WorkKind::kAppends)},
       {"orders", count_of(WorkKind::kOrders)},
       {"orders_ms", ms_of(WorkKind::kOrders)},
       {"results", count_of(WorkKind::kResults)},
       {"results_ms", ms_of(WorkKind::kResults)}});
}

void LeaderMonitor::OnStep(uint64_t term,
                           const jobs::JobScheduler& scheduler,
                           const jobs::PlacementWork& before,
                           Instant started_at) {
  const microseconds duration = context_.clock.Now() - started_at;
  metrics_.OnStep(duration);
  if (duration < kLongStep) {
    return;
  }
  const jobs::PlacementWork work = scheduler.fleet().work();
  context_.logger.Log(
      Event::kLeaderDelayed,
      {{"term", static_cast<int64_t>(term)},
       {"milliseconds",
        static_cast<int64_t>(
            std::chrono::floor<milliseconds>(duration).count())},
       {"open_jobs", static_cast<int64_t>(scheduler.open_jobs())},
       {"waiting_tasks", static_cast<int64_t>(scheduler.waiting_tasks())},
       {"considered_runners",
        static_cast<int64_t>(work.runners - before.runners)},
       {"examined_runs", static_cast<int64_t>(work.runs - before.runs)}});
}

void LeaderMonitor::OnSchedulerEvent(
    uint64_t term,
    const jobs::JobSchedulerEvent& event) const {
  metrics_.OnSchedulerEvent(event);
  context_.logger.Log(EventOf(event.kind),
                      {{"change", std::string(ToText(event.kind))},
                       {"subject", event.subject},
                       {"run", static_cast<int64_t>(event.run)},
                       {"runner", event.runner},
                       {"reason", event.reason},
                       {"term", static_cast<int64_t>(term)}});
}

}  // namespace papayadrift::cluster
