// The part of JobScheduler that deals with runs: runner reports, and orders to
// runners. Jobs and placement are in job_scheduler.cpp, ends of jobs in
// job_scheduler_completion.cpp, ends of runs in job_scheduler_ends.cpp, their
// speed in job_scheduler_paces.cpp, leases and ends of runners in
// job_scheduler_leases.cpp, crashes of runners in job_scheduler_crashes.cpp.

#include <algorithm>
#include <ranges>
#include <utility>
#include <variant>

#include "base/lookup.h"
#include "jobs/job_scheduler.h"
#include "jobs/pace_plan.h"
#include "jobs/run_description.h"
#include "jobs/runner_choice.h"

namespace papayadrift::jobs {

void JobScheduler::OnOrderLatency(microseconds latency) {
  constexpr int kSmoothing = 8;  // Answers that are averaged.
  order_latency_ += (latency - order_latency_) / kSmoothing;
}

milliseconds JobScheduler::ResendPeriod() const {
  constexpr int kLatencies = 2;
  return std::clamp(
      std::chrono::ceil<milliseconds>(order_latency_ * kLatencies),
      settings_.resend_period, settings_.longest_resend_period);
}

bool JobScheduler::OnReport(const RunnerReport& report, Instant now) {
  if (report.state == RunnerState::kGone && report.crash) {
    // Agents of the earlier version take refused connections for the end of the
    // runner. They give the time of a crash then, and none if it announced that
    // it leaves.
    RunnerReport unreachable = report;
    unreachable.state = RunnerState::kReady;
    unreachable.is_unreachable = true;
    return OnReport(unreachable, now);
  }
  const RunnerIncarnation& incarnation = report.incarnation;
  if (fleet_.IsSuperseded(report)) {
    return false;
  }
  if (report.state == RunnerState::kGone) {
    std::erase_if(end_reports_, [&](const auto& it) {
      return now - it.second.received_at > settings_.late_order_limit;
    });
    end_reports_[incarnation] = {report.agent_start_unix_ms, report.sent_at_ms,
                                 now};
    RemoveEarlierIncarnations(report, nullptr, now);
    const Runner* ended = fleet_.Find(incarnation);
    RemoveRunner(incarnation, "The agent reported that the runner has ended.",
                 ended == nullptr ? std::nullopt : CrashOf(*ended, report, now),
                 now);
    return true;
  }
  if (IsOvertakenByEnd(report)) {
    return false;
  }
  Runner& runner = fleet_.Get(incarnation);
  if (runner.former_agents.contains(report.agent_start_unix_ms)) {
    return false;
  }
  runner.report.incarnation = incarnation;
  InheritFormerAgents(runner, report);
  RemoveEarlierIncarnations(report, &runner, now);
  const bool is_new = !runner.has_report;
  if (!is_new &&
      report.agent_start_unix_ms == runner.report.agent_start_unix_ms &&
      report.sent_at_ms < runner.report.sent_at_ms) {
    return true;  // A later report has overtaken it.
  }
  ProcessTimes(runner, report, now);
  const bool was_ready = is_new || runner.report.state == RunnerState::kReady;
  const bool has_new_lists =
      is_new ||
      report.agent_start_unix_ms != runner.report.agent_start_unix_ms ||
      report.listed_at_ms > runner.report.listed_at_ms;
  runner.report = report;
  runner.report.active.clear();
  runner.report.ended.clear();
  runner.is_evacuated = evacuations_.Contains(report.zone);
  fleet_.MarkChanged(runner);
  runner.has_report = true;
  runner.reported_at = now;
  if (is_new) {
    Emit(JobSchedulerEvent::Kind::kRunnerJoined, ToText(incarnation), 0,
         report.service,
         runner.released.empty()
             ? std::string()
             : "It has to stop " + std::to_string(runner.released.size()) +
                   " runs that were given up before it gets a lease.");
  }
  if (was_ready && report.state == RunnerState::kDraining) {
    Emit(JobSchedulerEvent::Kind::kRunnerDraining, ToText(incarnation));
  }
  if (report.listed_at_ms > 0) {
    ProcessLists(runner, report, now);
    WithdrawStartsBeyondCapacity(runner, now);
    if (report.is_unreachable ||
        now - *runner.listed_at > settings_.list_limit) {
      // No progress since the last lists doesn't mean a stall.
      for (Run& run : runner.runs | std::views::values) {
        run.progressed_at = now;
      }
    } else if (has_new_lists) {
      CheckProgress(runner, now);
    }
    if (!report.is_unreachable) {
      UpdatePaces(runner, now);
    }
    fleet_.MarkChanged(runner);
  }
  const auto refusal = RefusalOf(runner, now);
  if (std::exchange(runner.lease_refusal, refusal) != refusal && refusal) {
    Emit(JobSchedulerEvent::Kind::kLeaseRefused, ToText(incarnation), 0, {},
         std::string(Describe(*refusal)));
  }
  return true;
}

void JobScheduler::InheritFormerAgents(Runner& runner,
                                       const RunnerReport& report) const {
  for (const RunnerIncarnation& it :
       fleet_.OtherIncarnations(report.incarnation)) {
    const Runner& other = *fleet_.Find(it);
    runner.former_agents.insert(other.former_agents.begin(),
                                other.former_agents.end());
    if (other.has_report &&
        other.report.agent_start_unix_ms != report.agent_start_unix_ms) {
      runner.former_agents.insert(other.report.agent_start_unix_ms);
    }
  }
}

bool JobScheduler::IsOvertakenByEnd(const RunnerReport& report) const {
  const EndReport* end = FindOrNull(end_reports_, report.incarnation);
  return end != nullptr &&
         report.agent_start_unix_ms == end->agent_start_unix_ms &&
         report.sent_at_ms < end->sent_at_ms;
}

void JobScheduler::ProcessLists(Runner& runner,
                                const RunnerReport& report,
                                Instant now) {
  for (const ActiveRun& active : report.active) {
    Run* run = FindOrNull(runner.runs, active.task);
    if (run == nullptr || run->number != active.run) {
      continue;
    }
    if (run->listed_since == Instant()) {
      run->listed_since = now;
      run->first_percent = active.percent;
      run->progressed_at = now;
    }
    run->is_accepted = true;
    OnStarted(active.task, now);
    if (run->started_by_ms == 0) {
      run->started_by_ms = report.sent_at_ms;
      run->settles_at = now + settings_.crash_window;
    }
    if (!run->has_survived_start && report.listed_at_ms - run->started_by_ms >=
                                        settings_.crash_window.count()) {
      run->has_survived_start = true;
      if (!run->is_gang || HasGangSurvivedStart(active.task)) {
        ClearCrashes(active.task);
      }
    }
    run->accepted_at_ms = std::min(run->accepted_at_ms, report.listed_at_ms);
    run->gauge = active.gauge;
    if (run->is_serving) {
      ProcessTail(runner, active.task, *run, now);
    }
    if (!active.checkpoint.empty()) {
      run->checkpoint = active.checkpoint;
    }
    if (active.percent != run->percent || run->pace_percent == 0) {
      run->percent = active.percent;
      run->progressed_at = now;
    }
  }
  ProcessOrphans(runner, report, now);
  // Each number is processed once, so that lower ones must come first.
  std::vector<EndedRun> ends = report.ended;
  std::ranges::sort(ends, {}, &EndedRun::number);
  for (const EndedRun& ended : ends) {
    ProcessEndedRun(runner, ended, now);
  }
  if (!report.has_all_ends) {
    // A run that is not listed may have ended as well.
    return;
  }
  std::vector<TaskKey> absent;
  for (const TaskKey& task : runner.runs | std::views::keys) {
    const Run& run = runner.runs.at(task);
    const bool is_listed =
        std::ranges::any_of(report.active, [&](const ActiveRun& active) {
          return active.task == task && active.run == run.number;
        });
    if (!is_listed) {
      absent.push_back(task);
    }
  }
  for (const TaskKey& task : absent) {
    // Processing one missing member of a gang may remove others.
    if (Run* run = FindOrNull(runner.runs, task)) {
      ProcessMissingRun(runner, task, *run, report.listed_at_ms, now);
    }
  }
}

void JobScheduler::WithdrawStartsBeyondCapacity(Runner& runner, Instant now) {
  std::vector<TaskKey> pending;
  for (const auto& [task, run] : runner.runs) {
    if (!run.is_accepted && !run.is_withdrawn) {
      pending.push_back(task);
    }
  }
  for (const TaskKey& task : pending) {
    if (FitsIn(runner.Used(), runner.report.capacity)) {
      return;
    }
    Run& run = runner.runs.at(task);
    Withdraw(runner, task, run, "The capacity of the runner has shrunk.", now);
    if (run.is_gang) {
      WithdrawGang(task, now);
    }
    if (run.sends == 0) {
      ReleaseRun(runner, task);
    }
  }
}

void JobScheduler::ProcessTail(const Runner& runner,
                               const TaskKey& task,
                               Run& run,
                               Instant now) const {
  const bool was_over = run.over_target_since.has_value();
  UpdateTail(run, run.gauge, now);
  if (run.over_target_since.has_value() != was_over) {
    Emit(was_over ? JobSchedulerEvent::Kind::kTargetMet
                  : JobSchedulerEvent::Kind::kTargetMissed,
         ToText(task), run.number, ToText(runner.report.incarnation),
         "The tail latency is " + std::to_string(run.gauge) +
             " ms, the target " + std::to_string(run.tail_target_ms) + " ms.");
  }
}

void JobScheduler::ProcessOrphans(Runner& runner,
                                  const RunnerReport& report,
                                  Instant now) {
  std::map<TaskKey, OrphanRun> orphans;
  for (const ActiveRun& active : report.active) {
    const Run* run = FindOrNull(runner.runs, active.task);
    if (run != nullptr && run->number == active.run) {
      continue;
    }
    const OrphanRun* known = FindOrNull(runner.orphans, active.task);
    OrphanRun orphan;
    if (known != nullptr && known->number == active.run) {
      orphan = *known;
    } else {
      orphan.number = active.run;
      orphan.send_due = now;
      orphan.listed_since = now;
      if (const Step* step = FindStep(active.task)) {
        orphan.need = step->need;
        if (step->is_filler) {
          orphan.need.millicores = 0;
        }
      }
    }
    orphans.emplace(active.task, orphan);
  }
  runner.orphans = std::move(orphans);
}

void JobScheduler::Release(const TaskKey& task, const std::string& checkpoint) {
  TaskProgress* progress = TaskOf(task);
  if (progress == nullptr || progress->phase != TaskPhase::kClaimed) {
    return;
  }
  progress->phase = TaskPhase::kWaiting;
  progress->incarnation = {};
  if (!checkpoint.empty()) {
    progress->checkpoint = checkpoint;
  }
  Change(task);
}

void JobScheduler::ReleaseRun(Runner& runner, const TaskKey& task) {
  const std::string checkpoint = runner.runs.at(task).checkpoint;
  runner.runs.erase(task);
  interference_.Forget(task);
  fleet_.MarkChanged(runner);
  Release(task, checkpoint);
}

void JobScheduler::Withdraw(Runner& runner,
                            const TaskKey& task,
                            Run& run,
                            std::string reason,
                            Instant now) {
  if (run.is_withdrawn) {
    return;
  }
  run.is_withdrawn = true;
  runner.runs.MarkUnsettled(task);
  run.withdrawn_at = now;
  fleet_.MarkChanged(runner);
  run.send_due = now;
  Emit(JobSchedulerEvent::Kind::kRunWithdrawn, ToText(task), run.number,
       ToText(runner.report.incarnation), std::move(reason));
}

void JobScheduler::WithdrawRunOf(const TaskKey& task,
                                 const std::string& reason,
                                 Instant now) {
  for (Runner& runner : fleet_.runners() | std::views::values) {
    if (Run* run = FindOrNull(runner.runs, task)) {
      Withdraw(runner, task, *run, reason, now);
    }
  }
}

void JobScheduler::WithdrawGang(const TaskKey& task, Instant now) {
  for (Runner& runner : fleet_.runners() | std::views::values) {
    for (auto& [other, run] : runner.runs) {
      if (other.job == task.job && other.occurrence == task.occurrence &&
          other.step == task.step && other.index != task.index) {
        Withdraw(runner, other, run, "Another member of the gang has ended.",
                 now);
      }
    }
  }
}

void JobScheduler::EmitStopped(const Runner& runner,
                               const TaskKey& task,
                               const Run& run,
                               Instant now) const {
  const auto ms =
      std::chrono::floor<milliseconds>(now - run.withdrawn_at).count();
  Emit(JobSchedulerEvent::Kind::kRunStopped, ToText(task), run.number,
       ToText(runner.report.incarnation),
       "It was withdrawn " + std::to_string(ms) + " ms before.");
}

void JobScheduler::ProcessMissingRun(Runner& runner,
                                     const TaskKey& task,
                                     Run& run,
                                     int64_t listed_at_ms,
                                     Instant now) {
  const bool is_stopped =
      run.accepted_stops > 0 && listed_at_ms >= run.stop_accepted_at_ms;
  const bool is_void = run.void_at_ms > 0 && listed_at_ms >= run.void_at_ms;
  if (run.is_withdrawn && (is_stopped || is_void)) {
    if (!is_stopped) {
      // It answers no orders; the next would not fare better there.
      CountFailure(runner, task, now);
    }
    EmitStopped(runner, task, run, now);
    ReleaseRun(runner, task);
    return;
  }
  if (!run.is_withdrawn && run.is_accepted &&
      listed_at_ms >= run.accepted_at_ms) {
    Withdraw(runner, task, run, "The runner no longer lists the run.", now);
  }
}

void JobScheduler::OnOrderResult(const RunnerIncarnation& incarnation,
                                 const Order& order,
                                 const OrderResult& result,
                                 Instant now) {
  Runner* runner = fleet_.Find(incarnation);
  if (runner == nullptr || result.verdict == OrderVerdict::kSuperseded) {
    return;
  }
  fleet_.MarkChanged(*runner);
  std::visit([&](const auto& it) { ProcessResult(*runner, it, result, now); },
             order);
}

void JobScheduler::ProcessResult(Runner& runner,
                                 const StopOrder& stop,
                                 const OrderResult& result,
                                 Instant /*now*/) {
  // A start that is still on its way takes effect unless the runner itself
  // has seen the stop.
  const bool has_arrived = result.verdict != OrderVerdict::kUnanswered &&
                           result.verdict != OrderVerdict::kRefused &&
                           result.verdict != OrderVerdict::kExpired &&
                           result.verdict != OrderVerdict::kOldView &&
                           result.verdict != OrderVerdict::kBadView &&
                           result.verdict != OrderVerdict::kUnhealthy;
  Run* run = FindOrNull(runner.runs, stop.task);
  if (run != nullptr && run->number == stop.run) {
    run->last_verdict = result.verdict;
    if (has_arrived) {
      // The first stop counts: stops are repeated until a list is newer, and
      // lists are hardly ever newer than the last stop. A later one has an
      // earlier time if the clock of the VM has started anew.
      run->stop_accepted_at_ms =
          run->accepted_stops == 0
              ? result.known_at_ms
              : std::min(run->stop_accepted_at_ms, result.known_at_ms);
      ++run->accepted_stops;
    }
  }
  const OrphanRun* released = FindOrNull(runner.released, stop.task);
  if (released != nullptr && released->number == stop.run && has_arrived) {
    runner.released.erase(stop.task);
  }
}

void JobScheduler::ProcessResult(Runner& runner,
                                 const PaceOrder& pace,
                                 const OrderResult& result,
                                 Instant now) {
  Run* run = FindOrNull(runner.runs, pace.task);
  if (run == nullptr || run->number != pace.run) {
    return;
  }
  if (result.verdict == OrderVerdict::kDone) {
    run->unconfirmed_pace.reset();
    run->is_pace_unknown = false;
    return;
  }
  run->pace_uncertain_until = now + settings_.late_order_limit;
  // Repeats of the same pace add no doubt.
  if (run->unconfirmed_pace != pace.percent) {
    run->unconfirmed_pace = pace.percent;
    run->pace_may_change_until = now + settings_.late_order_limit;
  }
}

void JobScheduler::ProcessResult(Runner& runner,
                                 const StartOrder& start,
                                 const OrderResult& result,
                                 Instant now) {
  Run* run = FindOrNull(runner.runs, start.task);
  if (run == nullptr || run->number != start.run) {
    return;
  }
  run->last_verdict = result.verdict;
  switch (result.verdict) {
    case OrderVerdict::kDone:
      run->is_accepted = true;
      OnStarted(start.task, now);
      run->accepted_at_ms = result.known_at_ms;
      run->started_by_ms =
          run->started_by_ms == 0
              ? result.known_at_ms
              : std::min(run->started_by_ms, result.known_at_ms);
      run->progressed_at = now;
      run->started_at = now;
      if (!run->settles_at) {
        run->settles_at = now + settings_.crash_window;
      }
      return;
    case OrderVerdict::kUnanswered:
    case OrderVerdict::kSuperseded:
    case OrderVerdict::kOldView:
    case OrderVerdict::kBadView:
      return;  // Resent when it is due.
    case OrderVerdict::kStaleRun:
      Withdraw(runner, start.task, *run,
               "The runner has already seen this run or a later one.", now);
      return;
    case OrderVerdict::kLeaseExpired:
    case OrderVerdict::kExpired:
      if (run->sends > 1) {
        return;  // An earlier send may have started it.
      }
      [[fallthrough]];
    case OrderVerdict::kNoRoom:
    case OrderVerdict::kBadTicket:
    case OrderVerdict::kUnhealthy:
    case OrderVerdict::kRefused:
      runner.suspended_until =
          std::max(runner.suspended_until, now + settings_.refusal_pause);
      Withdraw(runner, start.task, *run, "The runner refused the start.", now);
      if (run->sends == 1) {
        // The only send had no effect, so there is nothing to stop.
        ReleaseRun(runner, start.task);
      }
      return;
  }
}

void JobScheduler::WithdrawFailedStart(const Runner& runner,
                                       const TaskKey& task,
                                       Run& run,
                                       Instant now) const {
  const bool is_over = runner.report.state != RunnerState::kReady ||
                       runner.is_evacuated || run.sends >= settings_.max_sends;
  const bool may_be_answered = run.sends > 0 && now < run.send_due;
  if (run.is_withdrawn || run.is_accepted || !is_over || may_be_answered) {
    return;
  }
  run.is_withdrawn = true;
  run.withdrawn_at = now;
  Emit(JobSchedulerEvent::Kind::kRunWithdrawn, ToText(task), run.number,
       ToText(runner.report.incarnation), DescribeFailedStart(run));
}

std::optional<Order> JobScheduler::NextOrder(Runner& runner,
                                             const TaskKey& task,
                                             Run& run,
                                             Instant now) {
  const bool is_start_due =
      !run.is_accepted && !runner.is_evacuated && MaySendStarts(now);
  if (now < run.send_due || run.claim_version > stored_version_ ||
      !(run.is_withdrawn || is_start_due)) {
    return std::nullopt;
  }
  run.send_due = now + ResendPeriod();
  if (run.is_withdrawn) {
    if (!run.is_stop_overdue &&
        now - run.withdrawn_at >= settings_.stop_overdue_limit) {
      run.is_stop_overdue = true;
      Emit(JobSchedulerEvent::Kind::kStopOverdue, ToText(task), run.number,
           ToText(runner.report.incarnation),
           DescribeOverdueStop(run, runner.report.listed_at_ms, now));
    }
    if (run.is_stop_overdue && run.accepted_stops == 0) {
      // What it is given now could not be taken back either.
      runner.suspended_until =
          std::max(runner.suspended_until, now + ResendPeriod());
    }
    return StopOrder{task, run.number};
  }
  if (run.sends == 0) {
    run.first_sent_at = now;
  }
  ++run.sends;
  run.void_at_ms = VoidAtMs(OrderDeadlineMs(runner.report.incarnation, now));
  return StartOrder{
      task, run.number, jobs_.at(task.job).job.payload, run.checkpoint, {}};
}

void JobScheduler::CountOverdue(const Run& run, Instant now) {
  const Instant since = run.is_withdrawn ? run.withdrawn_at : run.claimed_at;
  if (now - since >= settings_.stop_overdue_limit) {
    ++(run.is_withdrawn ? overdue_.stops : overdue_.starts);
  }
}

std::vector<std::pair<RunnerIncarnation, std::vector<Order>>>
JobScheduler::TakeOrders(Instant now) {
  std::vector<std::pair<RunnerIncarnation, std::vector<Order>>> batches;
  overdue_ = {};
  for (auto& [incarnation, runner] : fleet_.runners()) {
    if (!runner.has_report) {
      continue;
    }
    // Starts and paces depend on the state of the runner; a stop is right at
    // any time.
    const bool is_report_recent = now - runner.reported_at <= kMaxReportAge;
    overdue_.leases +=
        is_report_recent && runner.lease_expires_at <= now ? 1 : 0;
    std::vector<Order> orders;
    std::vector<TaskKey> unsent;
    for (const auto& it : runner.runs.Unsettled()) {
      auto& [task, run] = *it;
      ++checked_runs_;
      CountOverdue(run, now);
      if (!is_report_recent && !run.is_withdrawn) {
        continue;
      }
      WithdrawFailedStart(runner, task, run, now);
      if (run.is_withdrawn && run.sends == 0) {
        unsent.push_back(task);
        continue;
      }
      if (auto order = NextOrder(runner, task, run, now)) {
        orders.push_back(std::move(*order));
      }
    }
    for (const TaskKey& task : unsent) {
      // Nobody has been told to start it, so there is nothing to stop.
      EmitStopped(runner, task, runner.runs.at(task), now);
      ReleaseRun(runner, task);
    }
    for (auto* stopped : {&runner.orphans, &runner.released}) {
      for (auto& [task, orphan] : *stopped) {
        if (now >= orphan.send_due) {
          orphan.send_due = now + ResendPeriod();
          orders.emplace_back(StopOrder{task, orphan.number});
        }
      }
    }
    if (is_report_recent) {
      std::ranges::move(runner.pace_orders, std::back_inserter(orders));
    }
    runner.pace_orders.clear();
    if (!orders.empty()) {
      batches.emplace_back(incarnation, std::move(orders));
    }
  }
  return batches;
}

}  // namespace papayadrift::jobs
