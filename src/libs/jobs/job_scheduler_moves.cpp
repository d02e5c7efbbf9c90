// The part of JobScheduler that moves runs to other runners: fillers that are
// slowed where they are, and serving tasks that close a runner to fillers.

#include <algorithm>
#include <optional>
#include <ranges>

#include "base/lookup.h"
#include "jobs/job_scheduler.h"
#include "jobs/pace_plan.h"
#include "jobs/runner_choice.h"
#include "jobs/serving_groups.h"

namespace papayadrift::jobs {

bool JobScheduler::WouldRunFasterElsewhere(const Runner& runner,
                                           const TaskKey& task,
                                           const Run& run,
                                           Instant now) const {
  const Entry& entry = jobs_.at(task.job);
  const Step& step = entry.job.steps[task.step];
  const Queue* queue = FindQueue(entry.job.queue);
  if (queue == nullptr || step.is_gang) {
    return false;
  }
  const Runner* other = ChooseRunner(
      fleet_, interference_, settings_.policy,
      {task, &step, queue->service, runner.report.incarnation}, now);
  if (other == nullptr || other == &runner) {
    return false;
  }
  const double share = static_cast<double>(run.need.millicores) /
                       static_cast<double>(std::max<int64_t>(
                           1, other->report.capacity.millicores));
  return ExcessWithFiller(*other, interference_, settings_.policy.pacing,
                          run.image, share) <= 0;
}

void JobScheduler::RelocateFillers(Instant now) {
  if (now - relocated_at_ < settings_.relocation_period) {
    return;
  }
  relocated_at_ = now;
  // Work without a checkpoint is lost, so only runs that have done little are
  // moved.
  constexpr uint32_t kMaxUnsavedPercent = 30;
  for (Runner& runner : fleet_.runners() | std::views::values) {
    for (auto& [task, run] : runner.runs) {
      const bool is_slow = run.is_filler && run.is_accepted &&
                           !run.is_withdrawn &&
                           run.pace_percent < settings_.slow_percent &&
                           now - run.slow_since >= settings_.slow_limit;
      if (is_slow && open_.contains(task.job) &&
          (!run.checkpoint.empty() || run.percent <= kMaxUnsavedPercent ||
           now - run.slow_since >= settings_.very_slow_limit) &&
          WouldRunFasterElsewhere(runner, task, run, now)) {
        Withdraw(runner, task, run,
                 "The run would be faster on another runner.", now);
        // One at a time, as each reduces the capacity left for the next.
        return;
      }
    }
  }
}

bool JobScheduler::IsWholeStepServing(const TaskKey& task, Instant now) const {
  const Entry& entry = jobs_.at(task.job);
  if (!IsKept(entry.progress, task.occurrence)) {
    return false;
  }
  const auto& tasks = TasksOfStep(entry.progress, task);
  return std::ranges::all_of(tasks, [&](const TaskProgress& it) {
    if (it.phase != TaskPhase::kClaimed) {
      return false;
    }
    const Runner* runner = fleet_.Find(it.incarnation);
    if (runner == nullptr) {
      return false;
    }
    const auto index = static_cast<uint32_t>(&it - tasks.data());
    const Run* run = FindOrNull(
        runner->runs, TaskKey{task.job, task.occurrence, task.step, index});
    return run != nullptr && run->is_accepted && !run->is_withdrawn &&
           now - run->started_at >= settings_.min_serving_stay;
  });
}

std::optional<double> JobScheduler::RegroupingGain(const Runner& runner,
                                                   const TaskKey& task,
                                                   const Run& run,
                                                   Instant now) const {
  const Entry& entry = jobs_.at(task.job);
  const Step& step = entry.job.steps[task.step];
  const Queue* queue = FindQueue(entry.job.queue);
  if (queue == nullptr) {
    return std::nullopt;
  }
  const Runner* other = ChooseRunner(
      fleet_, interference_, settings_.policy,
      {task, &step, queue->service, runner.report.incarnation}, now);
  if (other == nullptr || other == &runner) {
    return std::nullopt;
  }
  return UsableByFillersWithout(runner, interference_, task) -
         UsableByFillers(runner, interference_) +
         UsableByFillersWith(*other, interference_, run.image, run.need) -
         UsableByFillers(*other, interference_);
}

void JobScheduler::RegroupServing(Instant now) {
  if (now - regrouped_at_ < settings_.regrouping_period ||
      fleet_.runners().empty()) {
    return;
  }
  regrouped_at_ = now;
  // Each pass looks at a few runners, so that its cost does not grow with the
  // fleet.
  constexpr size_t kRunnersPerPass = 4;
  auto it = fleet_.runners().upper_bound(regrouped_runner_);
  for (size_t i = 0; i < std::min(kRunnersPerPass, fleet_.runners().size());
       ++i, ++it) {
    if (it == fleet_.runners().end()) {
      it = fleet_.runners().begin();
    }
    regrouped_runner_ = it->first;
    Runner& runner = it->second;
    Run* best = nullptr;
    TaskKey best_task;
    double best_gain = settings_.min_regrouping_gain;
    for (auto& [task, run] : runner.runs) {
      if (!run.is_serving || !run.is_accepted || run.is_withdrawn ||
          !open_.contains(task.job) || FindStep(task)->max_unavailable > 0 ||
          !IsMisplaced(runner, interference_, task) ||
          !IsWholeStepServing(task, now)) {
        continue;
      }
      const std::optional<double> gain = RegroupingGain(runner, task, run, now);
      if (gain && *gain > best_gain) {
        best = &run;
        best_task = task;
        best_gain = *gain;
      }
    }
    if (best != nullptr) {
      Withdraw(runner, best_task, *best,
               "Its runner would serve more fillers without it.", now);
      return;
    }
  }
}

}  // namespace papayadrift::jobs
