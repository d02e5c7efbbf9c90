// The part of JobScheduler that deals with the leases of runners, and with the
// runs of those that have ended or lost theirs.

#include <algorithm>
#include <ranges>
#include <utility>

#include "base/lookup.h"
#include "jobs/job_scheduler.h"
#include "jobs/runner_crash.h"

namespace papayadrift::jobs {
namespace {

// Time after which a lead of an agent's clock no longer counts, or up to twice
// that: clocks that differ by 2% drift apart by 1.2 s in it, sound ones by some
// milliseconds.
constexpr milliseconds kLeadWindow(30'000);

}  // namespace

void JobScheduler::RemoveEarlierIncarnations(const RunnerReport& report,
                                             Runner* successor,
                                             Instant now) {
  const RunnerIncarnation& incarnation = report.incarnation;
  for (const RunnerIncarnation& older : fleet_.OtherIncarnations(incarnation)) {
    RemoveRunner(older, "A later incarnation of the runner has started.",
                 CrashOfReplaced(*fleet_.Find(older), report, now), now,
                 older.instance == incarnation.instance ? successor : nullptr);
  }
}

void JobScheduler::RemoveRunner(const RunnerIncarnation& incarnation,
                                const std::string& reason,
                                const std::optional<RunnerCrash>& crash,
                                Instant now,
                                Runner* successor) {
  Runner* runner = fleet_.Find(incarnation);
  if (runner == nullptr) {
    return;
  }
  Emit(crash ? JobSchedulerEvent::Kind::kRunnerCrashed
             : JobSchedulerEvent::Kind::kRunnerGone,
       ToText(incarnation), 0, {}, reason);
  if (runner->capacity_reservation) {
    EndReservation(*runner, &ReservationCounts::given_up,
                   "The runner is gone.");
  }
  const RunTable runs = std::move(runner->runs);
  std::map<TaskKey, OrphanRun> released = std::move(runner->released);
  fleet_.Remove(incarnation);
  for (const auto& [task, run] : runs) {
    Emit(JobSchedulerEvent::Kind::kRunLost, ToText(task), run.number,
         ToText(incarnation), crash ? DescribeStart(run, *crash) : reason);
    interference_.Forget(task);
    if (run.MayStartLate() && successor != nullptr) {
      Inherit(*successor, task, run, now);
    } else {
      Release(task, run.checkpoint);
      if (run.MayStartLate()) {
        released[task] = {run.number, {}, now};
      }
    }
    const Step* step = FindStep(task);
    if (step != nullptr && step->is_gang) {
      WithdrawGang(task, now);
    }
  }
  if (!released.empty()) {
    (successor != nullptr
         ? successor->released
         : released_[{incarnation.node, incarnation.instance}]) =
        std::move(released);
  }
  if (crash) {
    RecordCrash(incarnation, runs, *crash, now);
  }
}

void JobScheduler::Inherit(Runner& successor,
                           const TaskKey& task,
                           Run run,
                           Instant now) {
  run.is_accepted = false;
  run.started_by_ms = 0;
  run.listed_since = Instant();
  run.settles_at.reset();
  run.has_survived_start = false;
  run.is_withdrawn = false;
  run.accepted_stops = 0;
  run.last_verdict.reset();
  run.is_stop_overdue = false;
  Run& inherited = successor.runs[task];
  inherited = std::move(run);
  Withdraw(successor, task, inherited,
           "The runner has started again under the same name.", now);
}

void JobScheduler::TakeOverReleasedRuns(const RunnerIncarnation& incarnation,
                                        Runner& runner) {
  if (auto own = released_.extract({incarnation.node, incarnation.instance})) {
    runner.released.merge(own.mapped());
  }
  std::erase_if(released_, [&](const auto& it) {
    return it.first.first == incarnation.node;
  });
}

std::optional<LeaseRefusal> JobScheduler::RefusalOf(const Runner& runner,
                                                    Instant now) const {
  if (!runner.released.empty()) {
    return LeaseRefusal::kRunsToStop;
  }
  if (runner.report.is_unreachable) {
    // The agent can't pass a lease on. One that it isn't granted ends sooner,
    // which matters if the process has ended for good.
    return LeaseRefusal::kUnreachable;
  }
  if (!runner.listed_at) {
    return LeaseRefusal::kNoLists;
  }
  if (now - *runner.listed_at > settings_.list_limit) {
    return LeaseRefusal::kOldLists;
  }
  const Instant stop_due = now - settings_.late_order_limit;
  const bool has_run = std::ranges::any_of(
      runner.runs | std::views::values, [&](const Run& run) {
        return run.is_withdrawn && run.withdrawn_at < stop_due;
      });
  const bool has_orphan = std::ranges::any_of(
      runner.orphans | std::views::values,
      [&](const OrphanRun& orphan) { return orphan.listed_since < stop_due; });
  // While ends are missing, that of a run may be among them.
  return has_orphan || (has_run && runner.report.has_all_ends)
             ? std::optional(LeaseRefusal::kUnconfirmedStop)
             : std::nullopt;
}

bool JobScheduler::MayLease(const RunnerIncarnation& incarnation,
                            Instant now) const {
  const Runner* runner = fleet_.Find(incarnation);
  return runner != nullptr && !RefusalOf(*runner, now);
}

std::optional<std::string> JobScheduler::LossOf(const Runner& runner,
                                                Instant now) const {
  if (now <= runner.lease_expires_at ||
      (!runner.runs.empty() && now <= ExpiryOfEarlierLeases())) {
    return std::nullopt;
  }
  if (!runner.has_report || now - runner.reported_at > kMaxReportAge) {
    return "The lease expired without a report from the agent.";
  }
  if (runner.runs.empty() || !runner.lease_refusal ||
      runner.lease_refusal == LeaseRefusal::kRunsToStop ||
      now <= LeaseExpiry(runner.joined_at + settings_.lease)) {
    return std::nullopt;
  }
  return "The lease expired and was not renewed. " +
         std::string(Describe(*runner.lease_refusal));
}

int64_t JobScheduler::VoidAtMs(int64_t valid_until_ms) const {
  return valid_until_ms +
         (settings_.late_order_limit + settings_.lease_expiry_margin).count();
}

void JobScheduler::ProcessTimes(Runner& runner,
                                const RunnerReport& report,
                                Instant now) {
  const milliseconds lead =
      milliseconds(report.sent_at_ms) -
      std::chrono::ceil<milliseconds>(now.time_since_epoch());
  const bool is_new = !runner.has_report;
  const bool is_restarted = !is_new && report.agent_start_unix_ms !=
                                           runner.report.agent_start_unix_ms;
  if (is_restarted) {
    runner.former_agents.insert(runner.report.agent_start_unix_ms);
    for (Run& run : runner.runs | std::views::values) {
      // What happened before the restart is older than any list since then.
      run.accepted_at_ms = 0;
      run.stop_accepted_at_ms = 0;
      run.started_by_ms = std::min(run.started_by_ms, report.sent_at_ms);
    }
  }
  if (is_new) {
    runner.joined_at = now;
    TakeOverReleasedRuns(report.incarnation, runner);
  }
  if (is_new || is_restarted) {
    runner.lead_before_window = lead;
    runner.lead_in_window = lead;
    runner.lead_window_end = now + kLeadWindow;
  } else if (now >= runner.lead_window_end) {
    runner.lead_before_window = runner.lead_in_window;
    runner.lead_in_window = lead;
    runner.lead_window_end = now + kLeadWindow;
  }
  runner.lead_in_window = std::max(runner.lead_in_window, lead);
  runner.agent_clock_lead =
      std::max(runner.lead_before_window, runner.lead_in_window);
  if (is_new || is_restarted) {
    RedateStarts(runner, report.sent_at_ms);
  }
  if (report.listed_at_ms > 0) {
    const Instant listed_at =
        now - milliseconds(report.sent_at_ms - report.listed_at_ms);
    runner.listed_at =
        std::max(runner.listed_at.value_or(listed_at), listed_at);
  }
  std::erase_if(runner.released, [&](const auto& it) {
    return it.second.void_at_ms <= report.sent_at_ms;
  });
}

void JobScheduler::RedateStarts(Runner& runner, int64_t agent_ms) const {
  const int64_t void_at_ms =
      VoidAtMs(agent_ms + settings_.order_validity.count());
  for (Run& run : runner.runs | std::views::values) {
    if (run.sends > 0) {
      run.void_at_ms = void_at_ms;
    }
  }
  for (OrphanRun& orphan : runner.released | std::views::values) {
    orphan.void_at_ms = void_at_ms;
  }
}

int64_t JobScheduler::OrderDeadlineMs(const RunnerIncarnation& incarnation,
                                      Instant now) const {
  const Runner* runner = fleet_.Find(incarnation);
  return runner == nullptr
             ? 0
             : std::chrono::floor<milliseconds>(now.time_since_epoch() +
                                                runner->agent_clock_lead +
                                                settings_.order_validity)
                   .count();
}

int64_t JobScheduler::ViewedAtMs(const RunnerIncarnation& incarnation) const {
  const Runner* runner = fleet_.Find(incarnation);
  return runner == nullptr
             ? 0
             : std::chrono::floor<milliseconds>(ViewedAt().time_since_epoch() +
                                                runner->agent_clock_lead)
                   .count();
}

void JobScheduler::OnLeaseGranted(const RunnerIncarnation& incarnation,
                                  Instant until) {
  Runner* runner = fleet_.Find(incarnation);
  if (runner == nullptr) {
    return;
  }
  if (runner->lease_expires_at <= runner->reported_at) {
    fleet_.MarkChanged(*runner);
  }
  runner->lease_expires_at =
      std::max(runner->lease_expires_at, LeaseExpiry(until));
}

}  // namespace papayadrift::jobs
