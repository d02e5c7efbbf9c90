#include "replay/job_table.h"

#include <algorithm>
#include <cassert>
#include <ranges>

#include "base/lookup.h"
#include "replay/plausibility.h"

namespace papayadrift::replay {

namespace {

uint64_t& CountOf(TaskCounts& counts, TaskPhase phase) {
  switch (phase) {
    case TaskPhase::kWaiting:
      return counts.waiting;
    case TaskPhase::kLive:
      return counts.live;
    case TaskPhase::kFinished:
      return counts.finished;
    case TaskPhase::kDropped:
      break;
  }
  return counts.dropped;
}

bool IsWellFormed(const records::TaskEnded& record) {
  const bool is_known = record.ending <= records::TaskEnding::kStopped;
  const bool needs_checkpoint =
      record.ending == records::TaskEnding::kCheckpointed;
  return is_known && record.checkpoint.is_empty() != needs_checkpoint;
}

TaskPhase PhaseAfter(const JobState& job, records::TaskEnding ending) {
  if (ending == records::TaskEnding::kFinished) {
    return TaskPhase::kFinished;
  }
  return job.phase == JobPhase::kOpen ? TaskPhase::kWaiting
                                      : TaskPhase::kDropped;
}

bool IsWellFormed(const Separation& separation) {
  return separation.most_per_rack <= JobTable::kMaximumTasksPerJob &&
         separation.most_per_zone <= JobTable::kMaximumTasksPerJob &&
         separation.apart_from.size() <= Separation::kMaximumKinds;
}

bool Names(const records::JobSubmitted& job, const KindId& kind) {
  return std::ranges::find(job.separation.apart_from, kind) !=
         job.separation.apart_from.end();
}

bool NamesApartKinds(const JobState& job) {
  return !job.ended_at && !job.submitted.separation.apart_from.empty();
}

}  // namespace

FencingToken TokenOf(Offset offset, uint32_t index_in_batch) {
  constexpr uint32_t kIndexBits = 16;
  assert(index_in_batch < (1U << kIndexBits));
  return FencingToken((offset.value() << kIndexBits) | index_in_batch);
}

const JobState* JobTable::FindJob(const JobId& job) const {
  return FindOrNull(jobs_, job);
}

const TaskState* JobTable::FindTask(const TaskId& task) const {
  const JobState* job = FindJob(task.job);
  return job == nullptr ? nullptr : FindOrNull(job->tasks, task.index);
}

const TaskState* JobTable::FindLive(const TaskId& task, Attempt attempt) const {
  const TaskState* state = FindTask(task);
  const bool is_match =
      state != nullptr && state->is_live && state->attempt == attempt;
  return is_match ? state : nullptr;
}

std::optional<TaskPhase> JobTable::PhaseOf(const TaskId& task) const {
  const JobState* job = FindJob(task.job);
  if (job == nullptr || task.index >= job->task_phases.size()) {
    return std::nullopt;
  }
  return job->task_phases[task.index];
}

Attempt JobTable::NextAttempt(const TaskId& task) const {
  const TaskState* state = FindTask(task);
  return state == nullptr ? Attempt(1) : state->attempt.Next();
}

std::vector<TaskId> JobTable::WaitingTasks(const JobId& job,
                                           size_t limit) const {
  std::vector<TaskId> tasks;
  const JobState* state = FindJob(job);
  if (state == nullptr) {
    return tasks;
  }
  const size_t n = std::min<size_t>(limit, state->counts.waiting);
  for (uint32_t i = state->first_waiting; tasks.size() < n; ++i) {
    if (state->task_phases[i] == TaskPhase::kWaiting) {
      tasks.push_back({.job = job, .index = i});
    }
  }
  return tasks;
}

bool JobTable::HasRoomIn(const JobId& job,
                         const ZoneId& zone,
                         const RackId& rack) const {
  const JobState& state = jobs_.at(job);
  return state.domains.HasRoom(state.submitted.separation, zone, rack);
}

bool JobTable::IsApartFromAny(const JobId& job,
                              const std::vector<TaskId>& others) const {
  const records::JobSubmitted& own = jobs_.at(job).submitted;
  return std::ranges::any_of(others, [&](const TaskId& task) {
    const records::JobSubmitted& other = jobs_.at(task.job).submitted;
    return Names(own, other.kind) || Names(other, own.kind);
  });
}

std::optional<Rejection> JobTable::Check(
    const records::JobSubmitted& record) const {
  if (record.job.is_empty() || record.tasks == 0 ||
      record.tasks > kMaximumTasksPerJob || !IsPlausible(record.declared) ||
      !IsWellFormed(record.separation)) {
    return Rejection::kMalformed;
  }
  if (jobs_.contains(record.job)) {
    return Rejection::kJobKnown;
  }
  return std::nullopt;
}

std::optional<Rejection> JobTable::Check(
    const records::JobCancelled& record) const {
  return CheckClose(record.job);
}

std::optional<Rejection> JobTable::Check(
    const records::JobRefused& record) const {
  if (record.reason > RefusalReason::kVersionConflict) {
    return Rejection::kMalformed;
  }
  return CheckClose(record.job);
}

std::optional<Rejection> JobTable::Check(
    const records::TaskClaimed& record) const {
  const JobState* job = FindJob(record.task.job);
  if (job == nullptr) {
    return Rejection::kJobUnknown;
  }
  if (record.task.index >= job->submitted.tasks) {
    return Rejection::kTaskUnknown;
  }
  if (job->phase != JobPhase::kOpen) {
    return Rejection::kJobClosed;
  }
  const TaskPhase phase = job->task_phases[record.task.index];
  if (phase == TaskPhase::kLive) {
    return Rejection::kTaskLive;
  }
  if (phase != TaskPhase::kWaiting) {
    return Rejection::kTaskEnded;
  }
  if (record.attempt != NextAttempt(record.task)) {
    return Rejection::kAttemptNotNext;
  }
  const TaskState* state = FindTask(record.task);
  const CheckpointId checkpoint =
      state == nullptr ? CheckpointId() : state->checkpoint;
  if (record.resumes != checkpoint) {
    return Rejection::kCheckpointMismatch;
  }
  return std::nullopt;
}

std::optional<Rejection> JobTable::Check(
    const records::GrantChanged& record) const {
  const TaskState* state = FindLive(record.task, record.attempt);
  if (state == nullptr) {
    return Rejection::kAttemptNotLive;
  }
  if (state->grant == record.grant) {
    return Rejection::kNoChange;
  }
  return std::nullopt;
}

std::optional<Rejection> JobTable::Check(
    const records::EvictionRequested& record) const {
  const TaskState* state = FindLive(record.task, record.attempt);
  if (state == nullptr) {
    return Rejection::kAttemptNotLive;
  }
  if (state->is_evicting) {
    return Rejection::kNoChange;
  }
  return std::nullopt;
}

std::optional<Rejection> JobTable::Check(
    const records::TaskEnded& record) const {
  if (!IsWellFormed(record)) {
    return Rejection::kMalformed;
  }
  if (FindLive(record.task, record.attempt) == nullptr) {
    return Rejection::kAttemptNotLive;
  }
  return std::nullopt;
}

void JobTable::Apply(Offset offset, const records::JobSubmitted& record) {
  JobState& job = jobs_[record.job];
  job.submitted = record;
  job.submitted_at = offset;
  job.task_phases.assign(record.tasks, TaskPhase::kWaiting);
  job.counts.waiting = record.tasks;
  totals_.waiting += record.tasks;
  waiting_jobs_.insert(record.job);
  jobs_with_apart_kinds_ += NamesApartKinds(job) ? 1 : 0;
}

void JobTable::Apply(Offset offset, const records::JobCancelled& record) {
  Close(offset, jobs_.at(record.job), JobPhase::kCancelled);
}

void JobTable::Apply(Offset offset, const records::JobRefused& record) {
  JobState& job = jobs_.at(record.job);
  job.refusal = record.reason;
  Close(offset, job, JobPhase::kRefused);
}

void JobTable::Apply(FencingToken token, const records::TaskClaimed& record) {
  JobState& job = jobs_.at(record.task.job);
  TaskState& task = job.tasks[record.task.index];
  task.attempt = record.attempt;
  task.is_live = true;
  task.is_evicting = false;
  task.worker = {.worker = record.worker, .incarnation = record.incarnation};
  task.token = token;
  task.grant = record.grant;
  MoveTask(job, record.task.index, TaskPhase::kLive);
}

void JobTable::Apply(const records::GrantChanged& record) {
  LiveTask(record.task).grant = record.grant;
}

void JobTable::Apply(const records::EvictionRequested& record) {
  LiveTask(record.task).is_evicting = true;
}

void JobTable::Apply(Offset offset, const records::TaskEnded& record) {
  TaskState& task = LiveTask(record.task);
  JobState& job = jobs_.at(record.task.job);
  task.checkpoint = record.checkpoint;
  if (record.ending == records::TaskEnding::kFailed) {
    ++task.failures;
    ++job.counts.failed_attempts;
    ++totals_.failed_attempts;
  }
  EndAttempt(offset, record.task, PhaseAfter(job, record.ending));
}

void JobTable::EnterDomain(const JobId& job,
                           const ZoneId& zone,
                           const RackId& rack) {
  JobState& state = jobs_.at(job);
  if (state.submitted.separation.IsSpread()) {
    state.domains.Add(zone, rack);
  }
}

void JobTable::LeaveDomain(const JobId& job,
                           const ZoneId& zone,
                           const RackId& rack) {
  JobState& state = jobs_.at(job);
  if (state.submitted.separation.IsSpread()) {
    state.domains.Remove(zone, rack);
  }
}

void JobTable::LoseAttempt(Offset offset, const TaskId& task) {
  // The checkpoint that the lost attempt resumed is used up.
  LiveTask(task).checkpoint = CheckpointId();
  EndAttempt(offset, task,
             PhaseAfter(jobs_.at(task.job), records::TaskEnding::kStopped));
}

bool JobTable::SetWorkersOfLiveTasks(const std::vector<WorkerKey>& workers) {
  auto it = workers.begin();
  for (JobState& job : jobs_ | std::views::values) {
    for (TaskState& task : job.tasks | std::views::values) {
      if (!task.is_live) {
        continue;
      }
      if (it == workers.end()) {
        return false;
      }
      task.worker = *it++;
    }
  }
  return it == workers.end();
}

bool JobTable::Reindex() {
  waiting_jobs_.clear();
  ended_jobs_.clear();
  jobs_with_apart_kinds_ = 0;
  for (const auto& [id, job] : jobs_) {
    const size_t tasks = job.ended_at ? 0 : job.submitted.tasks;
    if (id != job.submitted.job || job.task_phases.size() != tasks) {
      return false;
    }
    if (job.ended_at) {
      ended_jobs_.emplace(*job.ended_at, id);
    }
    if (job.counts.waiting > 0) {
      waiting_jobs_.insert(id);
    }
    jobs_with_apart_kinds_ += NamesApartKinds(job) ? 1 : 0;
  }
  return true;
}

std::optional<Rejection> JobTable::CheckClose(const JobId& job) const {
  const JobState* state = FindJob(job);
  if (state == nullptr) {
    return Rejection::kJobUnknown;
  }
  if (state->phase != JobPhase::kOpen) {
    return Rejection::kJobClosed;
  }
  return std::nullopt;
}

TaskState& JobTable::LiveTask(const TaskId& task) {
  TaskState& state = jobs_.at(task.job).tasks.at(task.index);
  assert(state.is_live);
  return state;
}

void JobTable::Close(Offset offset, JobState& job, JobPhase phase) {
  job.phase = phase;
  for (uint32_t i = job.first_waiting; job.counts.waiting > 0; ++i) {
    if (job.task_phases[i] == TaskPhase::kWaiting) {
      job.tasks.erase(i);
      MoveTask(job, i, TaskPhase::kDropped);
    }
  }
  EndJobIfDone(offset, job);
}

void JobTable::EndAttempt(Offset offset, const TaskId& task, TaskPhase phase) {
  JobState& job = jobs_.at(task.job);
  if (phase == TaskPhase::kWaiting) {
    TaskState& state = job.tasks.at(task.index);
    state.is_live = false;
    state.is_evicting = false;
    state.worker = WorkerKey();
    state.token = FencingToken();
    state.grant = Resources();
  } else {
    job.tasks.erase(task.index);
  }
  MoveTask(job, task.index, phase);
  EndJobIfDone(offset, job);
}

void JobTable::MoveTask(JobState& job, uint32_t index, TaskPhase phase) {
  const TaskPhase before = std::exchange(job.task_phases[index], phase);
  --CountOf(job.counts, before);
  ++CountOf(job.counts, phase);
  --CountOf(totals_, before);
  ++CountOf(totals_, phase);
  if (job.counts.waiting == 0) {
    waiting_jobs_.erase(job.submitted.job);
    job.first_waiting = job.submitted.tasks;
    return;
  }
  waiting_jobs_.insert(job.submitted.job);
  if (phase == TaskPhase::kWaiting) {
    job.first_waiting = std::min(job.first_waiting, index);
  }
  while (job.task_phases[job.first_waiting] != TaskPhase::kWaiting) {
    ++job.first_waiting;
  }
}

void JobTable::EndJobIfDone(Offset offset, JobState& job) {
  if (job.counts.waiting > 0 || job.counts.live > 0) {
    return;
  }
  if (job.phase == JobPhase::kOpen) {
    job.phase = JobPhase::kFinished;
  }
  jobs_with_apart_kinds_ -= NamesApartKinds(job) ? 1 : 0;
  job.ended_at = offset;
  job.task_phases = {};
  ended_jobs_.emplace(offset, job.submitted.job);
  ForgetOldestEndedJobs();
}

void JobTable::ForgetOldestEndedJobs() {
  while (ended_jobs_.size() > kMaximumEndedJobs) {
    const JobId oldest = ended_jobs_.begin()->second;
    ended_jobs_.erase(ended_jobs_.begin());
    jobs_.erase(oldest);
  }
}

}  // namespace papayadrift::replay
