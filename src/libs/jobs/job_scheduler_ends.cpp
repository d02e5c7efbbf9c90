// The part of JobScheduler that settles the ends of runs: what becomes of their
// tasks, and of runners on which they fail.

#include <algorithm>
#include <ranges>
#include <utility>

#include "base/lookup.h"
#include "jobs/job_scheduler.h"
#include "jobs/run_description.h"

namespace papayadrift::jobs {

void JobScheduler::ProcessEndedRun(Runner& runner,
                                   const EndedRun& ended,
                                   Instant now) {
  if (ended.number <= runner.handled_ends) {
    return;
  }
  runner.handled_ends = ended.number;
  const uint64_t version_before = version_;
  const EndSettlement settlement = SettlementOf(runner, ended);
  if (settlement == EndSettlement::kClaimedRun) {
    ProcessEndOfClaimedRun(runner, ended, now);
  } else {
    ProcessUnmatchedEnd(runner, ended, settlement, now);
  }
  if (version_ == version_before) {
    // Nothing has to be stored for it, but the next append shows that no other
    // leader had been elected when the end was listed.
    ++version_;
  }
  runner.unstored_ends.emplace(
      ended.number,
      UnstoredEnd{version_, ended.task, ended.run, ended.end, settlement});
}

EndSettlement JobScheduler::SettlementOf(const Runner& runner,
                                         const EndedRun& ended) {
  const Run* run = FindOrNull(runner.runs, ended.task);
  if (run != nullptr && run->number == ended.run) {
    return EndSettlement::kClaimedRun;
  }
  const TaskProgress* progress = TaskOf(ended.task);
  if (progress == nullptr) {
    const Entry* entry = FindOrNull(jobs_, ended.task.job);
    const bool is_dropped =
        entry != nullptr &&
        ended.task.occurrence < entry->progress.first_occurrence;
    return is_dropped ? EndSettlement::kTaskDone : EndSettlement::kUnknownTask;
  }
  if (!open_.contains(ended.task.job)) {
    return EndSettlement::kJobEnded;  // Its tasks may have been deleted.
  }
  const bool is_claimed_elsewhere =
      ended.run == progress->run && progress->phase == TaskPhase::kClaimed &&
      progress->incarnation != runner.report.incarnation;
  if (ended.run == 0 || ended.run > progress->run || is_claimed_elsewhere) {
    return EndSettlement::kUnknownRun;
  }
  if (progress->phase == TaskPhase::kDone) {
    return EndSettlement::kTaskDone;
  }
  return ended.end == RunEnd::kDone && !FindStep(ended.task)->is_long_running
             ? EndSettlement::kLateCompletion
             : EndSettlement::kRunGivenUp;
}

void JobScheduler::ProcessUnmatchedEnd(const Runner& runner,
                                       const EndedRun& ended,
                                       EndSettlement settlement,
                                       Instant now) {
  Emit(IsInvalid(settlement) ? JobSchedulerEvent::Kind::kEndInvalid
                             : JobSchedulerEvent::Kind::kEndUnmatched,
       ToText(ended.task), ended.run, ToText(runner.report.incarnation),
       std::string(ToText(settlement)));
  if (settlement == EndSettlement::kLateCompletion) {
    WithdrawRunOf(ended.task, "An earlier run has completed the task.", now);
    CompleteTask(ended.task, now);
  }
}

void JobScheduler::ProcessEndOfClaimedRun(Runner& runner,
                                          const EndedRun& ended,
                                          Instant now) {
  const Run run = runner.runs.at(ended.task);
  OnStarted(ended.task, now);
  if (ended.end == RunEnd::kDone) {
    ObserveDuration(ended.task, run, now);
  }
  if (run.is_withdrawn) {
    EmitStopped(runner, ended.task, run, now);
  }
  runner.runs.erase(ended.task);
  interference_.Forget(ended.task);
  Emit(JobSchedulerEvent::Kind::kRunEnded, ToText(ended.task), ended.run,
       ToText(runner.report.incarnation),
       ended.end == RunEnd::kDone     ? "done"
       : ended.end == RunEnd::kFailed ? "failed"
                                      : "interrupted");
  if (ended.end == RunEnd::kDone) {
    runner.failure_streak = 0;
    runner.failing_until = Instant();
  } else if (ended.end == RunEnd::kFailed) {
    CountFailure(runner, ended.task, now);
  }
  HandleRunEnd(ended.task, ended.end,
               ended.checkpoint.empty() ? run.checkpoint : ended.checkpoint,
               runner.report.incarnation, now);
}

void JobScheduler::CountFailure(Runner& runner,
                                const TaskKey& task,
                                Instant now) {
  // Users let a lasting task stand still beside free capacity for 7 s at most,
  // the time to recover included.
  constexpr uint32_t kMaxDoublings = 2;
  if (runner.failure_streak > 1 && now >= runner.failing_until) {
    // The runner may be sound by now: failures that led to a suspension which
    // is over count as one.
    runner.failure_streak = 1;
  }
  ++runner.failure_streak;
  if (Entry* entry = FindOrNull(jobs_, task.job)) {
    entry->failed_on[task] = runner.report.incarnation;
  }
  if (runner.failure_streak < 2) {
    return;
  }
  const uint32_t doublings = std::min(runner.failure_streak - 2, kMaxDoublings);
  runner.failing_until = now + settings_.failure_pause * (1 << doublings);
  Emit(JobSchedulerEvent::Kind::kRunnerSuspended,
       ToText(runner.report.incarnation), 0, {},
       std::to_string(runner.failure_streak) +
           " consecutive runs failed on it.");
}

void JobScheduler::HandleRunEnd(const TaskKey& task,
                                RunEnd end,
                                const std::string& checkpoint,
                                const RunnerIncarnation& incarnation,
                                Instant now) {
  const Step* step = FindStep(task);
  TaskProgress* progress = TaskOf(task);
  if (step == nullptr || progress == nullptr ||
      progress->phase == TaskPhase::kDone) {
    return;
  }
  if (!open_.contains(task.job)) {
    Release(task, checkpoint);
    return;
  }
  if (end == RunEnd::kDone && !step->is_long_running) {
    CompleteTask(task, now);
    return;
  }
  if (progress->phase != TaskPhase::kClaimed) {
    return;
  }
  Release(task, checkpoint);
  if (end == RunEnd::kFailed && !step->is_long_running) {
    RecordFailure(task, incarnation, now);
  } else if (step->is_gang) {
    WithdrawGang(task, now);
  }
}

void JobScheduler::CompleteTask(const TaskKey& task, Instant now) {
  Entry& entry = jobs_.at(task.job);
  auto& tasks = TasksOfStep(entry.progress, task);
  if (entry.job.steps[task.step].is_gang) {
    // The end of one member completes all members.
    for (uint32_t i = 0; i < tasks.size(); ++i) {
      tasks[i].phase = TaskPhase::kDone;
      Change({task.job, task.occurrence, task.step, i});
    }
    WithdrawGang(task, now);
  }
  ClearCrashes(task);
  TaskProgress& progress = tasks[task.index];
  progress.phase = TaskPhase::kDone;
  progress.incarnation = {};
  progress.checkpoint.clear();
  Change(task);
  CheckCompletion(task.job, now);
}

void JobScheduler::RecordFailure(const TaskKey& task,
                                 const RunnerIncarnation& incarnation,
                                 Instant now) {
  Entry& entry = jobs_.at(task.job);
  const bool is_gang = entry.job.steps[task.step].is_gang;
  const auto& members = TasksOfStep(entry.progress, task);
  TaskProgress* progress = TaskOf(task);
  // A gang runs as a whole: members that fail in one run are one failed
  // attempt. Its record is stored, so that the next leader doesn't count the
  // run again either.
  const bool is_counted =
      is_gang && std::ranges::any_of(members, [&](const TaskProgress& member) {
        return member.failed_run == progress->run;
      });
  if (!is_counted) {
    ++progress->failures;
    progress->failed_run = progress->run;
  }
  Change(task);
  const Queue* queue = FindQueue(entry.job.queue);
  const uint32_t max_count =
      queue == nullptr ? UINT32_MAX : queue->max_failures;
  uint32_t failures = progress->failures;
  if (is_gang) {
    failures = 0;
    for (const TaskProgress& member : members) {
      failures += member.failures;
    }
    WithdrawGang(task, now);
  }
  if (failures >= max_count) {
    Emit(JobSchedulerEvent::Kind::kRunEnded, ToText(task), progress->run,
         ToText(incarnation),
         "The last of " + std::to_string(max_count) + " attempts failed.");
    CloseJob(task.job, JobOutcome::kFailed, now);
  }
}

void JobScheduler::ObserveDuration(const TaskKey& task,
                                   const Run& run,
                                   Instant now) {
  const Entry* entry = FindOrNull(jobs_, task.job);
  const bool was_slowed = run.paced_at != Instant();
  if (entry == nullptr || run.is_long_running || was_slowed ||
      run.started_at == Instant() || run.number > 1) {
    return;
  }
  durations_.Observe(
      entry->job.queue, entry->job.steps[task.step],
      std::chrono::floor<milliseconds>(now - run.started_at).count());
}

}  // namespace papayadrift::jobs
