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

void JobScheduler::CheckProgress(Runner& runner, Instant now) {
  constexpr double kSmoothing = 0.2;
  // Below this progress the speed of a run can't be estimated yet.
  constexpr uint32_t kMinMeasuredPercent = 15;
  constexpr double kMaxSlowness = 10.0;
  for (auto& [task, run] : runner.runs) {
    const Entry* entry = FindOrNull(jobs_, task.job);
    if (entry == nullptr || run.is_long_running || !run.is_accepted ||
        run.is_withdrawn ||
        (run.started_at == Instant() && run.listed_since == Instant()) ||
        run.pace_percent == 0 || now < run.pace_may_change_until) {
      continue;
    }
    const Step& step = entry->job.steps[task.step];
    const milliseconds limit = settings_.stall_limit * 100 / run.pace_percent;
    if (now - run.progressed_at >= limit) {
      runner.suspended_until = now + settings_.stall_pause;
      Emit(JobSchedulerEvent::Kind::kRunnerSuspended,
           ToText(runner.report.incarnation), 0, {},
           "A run on it has stalled.");
      Withdraw(runner, task, run, "The run has stalled.", now);
      continue;
    }
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
}

}  // namespace papayadrift::jobs
