#include <algorithm>

#include "placement/separation_rules_p.h"

namespace papayadrift::placement {

namespace {

bool HasAntiAffinity(const JobState& job, KindNumber kind) {
  return std::ranges::find(job.apart_from, kind) != job.apart_from.end();
}

}  // namespace

void SeparationRules::AddJob(const JobState& job) {
  avoided_kinds_.insert(job.apart_from.begin(), job.apart_from.end());
}

void SeparationRules::Count(const TaskState& task) {
  if (task.job->separation.IsSpread()) {
    task.job->domains.Add(task.worker->zone, task.worker->rack);
  }
}

void SeparationRules::Discount(const TaskState& task) {
  if (task.job->separation.IsSpread()) {
    task.job->domains.Remove(task.worker->zone, task.worker->rack);
  }
}

std::optional<WaitReason> SeparationRules::WhyNot(
    const JobState& job,
    const WorkerState& worker) const {
  if (!job.domains.HasRoom(job.separation, worker.zone, worker.rack)) {
    return WaitReason::kDomainsFull;
  }
  if (job.apart_from.empty() && !avoided_kinds_.contains(job.shape.kind)) {
    return std::nullopt;
  }
  const bool is_apart =
      std::ranges::any_of(worker.tasks, [&](const TaskState* task) {
        return HasAntiAffinity(job, task->job->shape.kind) ||
               HasAntiAffinity(*task->job, job.shape.kind);
      });
  return is_apart ? std::optional(WaitReason::kKindsApart) : std::nullopt;
}

}  // namespace papayadrift::placement
