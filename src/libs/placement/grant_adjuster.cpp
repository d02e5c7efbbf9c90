#include <algorithm>

#include "placement/grant_adjuster_p.h"

namespace papayadrift::placement {

namespace {

// Usage from this fraction of the grant on means that the grant limits the
// task.
constexpr double kSaturated = 0.95;
constexpr double kLowerBelow = 0.8;
constexpr double kLeastMemoryOverUse = 1.25;
constexpr int64_t kLeastStepMillicores = 200;
// Small grants grow in smaller steps; with the fixed minimum step they would
// never grow.
constexpr int64_t kLeastStepOfGrant = 4;

bool IsCredible(const TaskState& task, const UsageReported& report) {
  return IsNonNegative(report.used) && FitsIn(report.used, task.committed) &&
         report.progress_permille >= 0 && report.progress_permille <= 1000;
}

}  // namespace

GrantAdjuster::GrantAdjuster(SchedulerCore& core) : core_(core) {}

void GrantAdjuster::OnReport(const UsageReported& report) {
  TaskState* task = core_.jobs.Find(report.task);
  if (task == nullptr || !IsLive(*task) || task->attempt != report.attempt ||
      report.measured_at > core_.now || !IsCredible(*task, report)) {
    return;
  }
  if (task->phase == TaskPhase::kClaimed) {
    task->phase = TaskPhase::kRunning;
  }
  core_.usage.Observe({task->job->shape, task->grant, report.used});
  task->progress_permille = std::max(
      task->progress_permille, static_cast<int32_t>(report.progress_permille));
  task->used_millicores = static_cast<double>(report.used.millicores);
  core_.RecordLoads(*task->worker);
  if (core_.settings.has_grant_adjustment &&
      task->phase == TaskPhase::kRunning &&
      core_.now >= task->next_grant_change_at && !task->is_throttled) {
    Adjust(*task);
  }
}

void GrantAdjuster::Adjust(TaskState& task) {
  if (task.wanted != task.grant) {
    return;
  }
  const Resources wanted = core_.GrantFor(*task.job);
  const bool is_held_back =
      task.used_millicores >=
      kSaturated * static_cast<double>(task.grant.millicores);
  if (is_held_back && wanted.millicores > task.grant.millicores) {
    Raise(task, wanted);
  } else {
    Lower(task, wanted);
  }
}

void GrantAdjuster::Raise(TaskState& task, const Resources& wanted) {
  const int64_t free = std::max<int64_t>(0, task.worker->Free().millicores);
  Resources raised = task.grant;
  raised.millicores = std::min(wanted.millicores, task.grant.millicores + free);
  const int64_t least_step =
      std::min(kLeastStepMillicores, task.grant.millicores / kLeastStepOfGrant);
  if (raised.millicores > task.grant.millicores + least_step) {
    core_.RequestGrant(task, raised, GrantReason::kUsesMore);
  }
}

void GrantAdjuster::Lower(TaskState& task, const Resources& wanted) {
  Resources lowered = task.grant;
  const double used =
      std::max(static_cast<double>(wanted.millicores), task.used_millicores);
  if (used < kLowerBelow * static_cast<double>(task.grant.millicores)) {
    lowered.millicores = static_cast<int64_t>(used);
  }
  if (static_cast<double>(wanted.memory_mebibytes) <
      kLowerBelow * static_cast<double>(task.grant.memory_mebibytes)) {
    lowered.memory_mebibytes = static_cast<int64_t>(
        kLeastMemoryOverUse * static_cast<double>(wanted.memory_mebibytes));
    lowered.memory_mebibytes =
        std::min(lowered.memory_mebibytes, task.grant.memory_mebibytes);
  }
  if (lowered != task.grant) {
    core_.RequestGrant(task, lowered, GrantReason::kUsesLess);
  }
}

}  // namespace papayadrift::placement
