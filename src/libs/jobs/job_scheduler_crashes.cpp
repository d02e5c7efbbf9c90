// The part of JobScheduler that finds tasks that crash their runners: it starts
// those that may be to blame alone, and gives up those that are.

#include <algorithm>
#include <ranges>
#include <set>
#include <string>

#include "base/lookup.h"
#include "jobs/job_scheduler.h"
#include "jobs/runner_choice.h"
#include "jobs/runner_crash.h"

namespace papayadrift::jobs {

void JobScheduler::RecordCrash(const RunnerIncarnation& incarnation,
                               const RunTable& runs,
                               const RunnerCrash& crash,
                               Instant now) {
  const std::set<TaskKey> suspects =
      CrashSuspects(runs, crash, settings_.crash_window);
  crashes_.Add(suspects, now);
  for (const TaskKey& task : suspects) {
    TaskProgress* record = TaskOf(task);
    if (record == nullptr || !open_.contains(task.job) ||
        record->crashed_run == record->run) {
      continue;
    }
    record->crashed_run = record->run;
    ++record->crashes;
    record->lone_crashes += suspects.size() == 1 ? 1 : 0;
    Change(task);
    const bool is_likely =
        record->crashes >= settings_.likely_crashes &&
        record->lone_crashes >= settings_.likely_lone_crashes &&
        !crashes_.HasUnexplained(now);
    if (!is_likely && record->crashes < settings_.max_crashes) {
      continue;
    }
    Emit(JobSchedulerEvent::Kind::kTaskGivenUp, ToText(task), record->run,
         ToText(incarnation),
         std::to_string(record->crashes) +
             " runners crashed right after its start, " +
             std::to_string(record->lone_crashes) +
             " of them where nothing else had just started.");
    CloseJob(task.job, JobOutcome::kFailed, now);
  }
}

TaskProgress* JobScheduler::CrashRecord(const TaskKey& task) {
  const Step* step = FindStep(task);
  return step == nullptr ? nullptr : TaskOf(CrashRecordOf(task, step->is_gang));
}

bool JobScheduler::HasGangSurvivedStart(const TaskKey& task) const {
  const Step* step = FindStep(task);
  if (step == nullptr) {
    return false;
  }
  const auto members = std::views::iota(0U, step->count);
  return std::ranges::all_of(members, [&](uint32_t index) {
    const TaskKey member{task.job, task.occurrence, task.step, index};
    return std::ranges::any_of(
        fleet_.runners() | std::views::values, [&](const Runner& runner) {
          const Run* run = FindOrNull(runner.runs, member);
          return run != nullptr && run->has_survived_start;
        });
  });
}

void JobScheduler::ClearCrashes(const TaskKey& task) {
  TaskProgress* record = CrashRecord(task);
  if (record == nullptr || record->crashes == 0) {
    return;
  }
  const TaskKey key = CrashRecordOf(task, FindStep(task)->is_gang);
  crashes_.Exonerate(key);
  record->crashes = 0;
  record->lone_crashes = 0;
  Change(key);
}

bool JobScheduler::IsIsolationExhausted(const std::string& service,
                                        Instant now) const {
  size_t all = 0;
  size_t isolating = 0;
  for (const Runner& runner : fleet_.runners() | std::views::values) {
    if (AcceptsRuns(runner, service, now)) {
      ++all;
      isolating += runner.IsIsolating(now) ? 1 : 0;
    }
  }
  return isolating > 0 &&
         static_cast<double>(isolating + 1) >
             settings_.max_isolating_part * static_cast<double>(all);
}

bool JobScheduler::HasReservation(const PlacementRequest& request,
                                  Instant now) const {
  const TaskKey record = CrashRecordOf(request.task, request.step->is_gang);
  return std::ranges::any_of(
      fleet_.runners() | std::views::values, [&](const Runner& runner) {
        return now < runner.reserved_until && runner.reserved_for == record;
      });
}

void JobScheduler::Reserve(Runner& runner,
                           const PlacementRequest& request,
                           Instant now) {
  runner.reserved_for = CrashRecordOf(request.task, request.step->is_gang);
  runner.reserved_until = now + settings_.reservation_limit;
}

const Runner* JobScheduler::ChooseIsolated(PlacementRequest request,
                                           Instant now) {
  request.is_isolated = true;
  const Runner* chosen =
      ChooseRunner(fleet_, interference_, settings_.policy, request, now);
  if (chosen != nullptr || HasReservation(request, now) ||
      IsIsolationExhausted(request.service, now)) {
    return chosen;
  }
  request.may_wait_for_isolation = true;
  const Runner* later =
      ChooseRunner(fleet_, interference_, settings_.policy, request, now);
  if (later != nullptr) {
    Reserve(*fleet_.Find(later->report.incarnation), request, now);
  }
  return nullptr;
}

}  // namespace papayadrift::jobs
