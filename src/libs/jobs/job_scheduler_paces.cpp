// The part of JobScheduler that deals with the speed of runs: paces of those
// that fill, and runs that stall.

#include <algorithm>
#include <utility>

#include "base/lookup.h"
#include "jobs/job_scheduler.h"
#include "jobs/pace_plan.h"

namespace papayadrift::jobs {

void JobScheduler::UpdatePaces(Runner& runner, Instant now) {
  UpdateFillerUses(runner, now);
  for (const auto& [task, run] : runner.runs) {
    if (run.is_serving && run.is_accepted && run.gauge > 0) {
      interference_.Observe(task, run.image, SlackOf(run), runner.filler_uses,
                            now);
    }
  }
  std::vector<Order>& orders = runner.pace_orders;
  orders.clear();
  for (const auto& [task, percent] : PlanPaces(
           runner, interference_, settings_.policy.pacing, now, unix_ms_)) {
    Run& run = runner.runs.at(task);
    const bool is_rise = percent > run.pace_percent;
    const bool is_repeat = percent == run.pace_percent;
    const bool is_in_doubt =
        run.is_pace_unknown || now < run.pace_uncertain_until;
    if (is_repeat ? !is_in_doubt || now - run.paced_at < settings_.pace_repeat
                  : is_rise && now - run.paced_at < settings_.pace_settle) {
      continue;
    }
    if (percent < settings_.slow_percent &&
        run.pace_percent >= settings_.slow_percent) {
      run.slow_since = now;
    }
    run.pace_percent = percent;
    run.paced_at = now;
    orders.emplace_back(PaceOrder{task, run.number, percent});
    Emit(JobSchedulerEvent::Kind::kRunPaced, ToText(task), run.number,
         ToText(runner.report.incarnation), std::to_string(percent) + "%");
  }
}

int64_t JobScheduler::ExpectedMs(const Entry& entry, const TaskKey& task) {
  const Step& step = entry.job.steps[task.step];
  const int64_t learned_ms = entry.means[task.step]->Expect(0);
  // Tasks of one image behave alike. Those of one queue need not, and a mean of
  // short ones says nothing of a long one.
  return learned_ms > 0 && !step.image.empty()
             ? learned_ms
             : std::max(learned_ms, step.estimated_ms);
}

milliseconds JobScheduler::StallLimit(const Entry& entry,
                                      const TaskKey& task,
                                      const Run& run) const {
  constexpr int64_t kPercents = 100;
  // With fewer, the time of the first one counts for too much.
  constexpr uint32_t kMinMeasuredPercents = 3;
  // 28 hours; the products below don't overflow.
  constexpr milliseconds kMaxLimit(100'000'000);
  const int64_t expected_ms = ExpectedMs(entry, task);
  milliseconds limit =
      expected_ms > 0 ? milliseconds(std::min(expected_ms, kMaxLimit.count()) *
                                     settings_.stall_percent / kPercents)
                      : settings_.unknown_stall_limit;
  const bool was_slowed = run.paced_at != Instant();
  if (!was_slowed && run.percent >= run.first_percent + kMinMeasuredPercents) {
    limit = std::chrono::floor<milliseconds>(
        (run.progressed_at - run.listed_since) /
        (run.percent - run.first_percent) * settings_.measured_stall_percent);
  }
  limit = std::max(limit, settings_.stall_limit);
  if (const Stalls* stalls =
          FindOrNull(entry.stalls, CrashRecordOf(task, run.is_gang))) {
    limit *=
        int64_t{1} << std::min(stalls->count, settings_.max_stall_doublings);
  }
  return std::min(limit, kMaxLimit) * kPercents / run.pace_percent;
}

void JobScheduler::StopStalledRun(Runner& runner,
                                  const TaskKey& task,
                                  bool is_advancing,
                                  Instant now) {
  Entry& entry = jobs_.at(task.job);
  Run& run = runner.runs.at(task);
  entry.failed_on[task] = runner.report.incarnation;
  Stalls& stalls = entry.stalls[CrashRecordOf(task, run.is_gang)];
  const bool is_known = stalls.run != 0 && stalls.run != run.number;
  if (stalls.run != run.number) {
    stalls = {run.number, stalls.count + 1};
  }
  Withdraw(runner, task, run,
           "The run has stalled: no progress for " +
               std::to_string(
                   std::chrono::floor<milliseconds>(now - run.progressed_at)
                       .count()) +
               " ms.",
           now);
  // A task that has stalled before, or of which nothing is known, may just be
  // long. On a runner whose other runs progress, the task is at fault.
  if (is_known || is_advancing || ExpectedMs(entry, task) == 0) {
    return;
  }
  const bool is_confirmed = runner.stalled_task &&
                            runner.stalled_task != task &&
                            now - runner.stalled_at < settings_.stall_memory;
  runner.stalled_task = task;
  runner.stalled_at = now;
  const Instant until = now + settings_.stall_pause;
  if (is_confirmed && runner.suspended_until < until) {
    runner.suspended_until = until;
    Emit(JobSchedulerEvent::Kind::kRunnerSuspended,
         ToText(runner.report.incarnation), 0, {},
         "Runs of two tasks on it have stalled.");
  }
}

void JobScheduler::CheckProgress(Runner& runner, Instant now) {
  constexpr double kSmoothing = 0.2;
  // Below this progress the speed of a run can't be estimated yet.
  constexpr uint32_t kMinMeasuredPercent = 15;
  constexpr double kMaxSlowness = 10.0;
  std::vector<TaskKey> stalled;
  bool is_advancing = false;
  for (auto& [task, run] : runner.runs) {
    const Entry* entry = FindOrNull(jobs_, task.job);
    if (entry == nullptr || run.is_long_running || !run.is_accepted ||
        run.is_withdrawn ||
        (run.started_at == Instant() && run.listed_since == Instant()) ||
        run.pace_percent == 0 || now < run.pace_may_change_until) {
      continue;
    }
    if (now - run.progressed_at >= StallLimit(*entry, task, run)) {
      stalled.push_back(task);
      continue;
    }
    is_advancing =
        is_advancing || (run.listed_since != Instant() &&
                         run.progressed_at > run.listed_since &&
                         now - run.progressed_at < settings_.stall_limit);
    const Step& step = entry->job.steps[task.step];
    const auto expected_ms =
        static_cast<double>(entry->means[task.step]->Expect(step.estimated_ms));
    const uint32_t percent = run.percent - run.first_percent;
    if (run.percent > run.first_percent && percent >= kMinMeasuredPercent &&
        run.paced_at == Instant() && expected_ms > 0) {
      const auto elapsed_ms = static_cast<double>(
          std::chrono::floor<milliseconds>(now - run.listed_since).count());
      const double ratio = std::clamp(
          elapsed_ms * 100 / (percent * expected_ms), 0.2, kMaxSlowness);
      runner.slowness += (ratio - runner.slowness) * kSmoothing;
    }
  }
  for (const TaskKey& task : stalled) {
    StopStalledRun(runner, task, is_advancing, now);
  }
}

}  // namespace papayadrift::jobs
