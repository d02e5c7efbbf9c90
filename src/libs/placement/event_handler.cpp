#include <algorithm>
#include <cmath>
#include <iterator>

#include "placement/event_handler_p.h"
#include "placement/knowledge_p.h"

namespace papayadrift::placement {

namespace {

// A runner without reports for this long is assumed to have no load.
constexpr microseconds kFirstReportWithin = seconds(60);

}  // namespace

EventHandler::EventHandler(SchedulerCore& core)
    : core_(core),
      holds_(core),
      preemptor_(core, holds_),
      reservations_(core, holds_),
      placer_(core, preemptor_, reservations_),
      quarantine_manager_(core),
      mitigator_(core, holds_),
      grant_adjuster_(core) {}

void EventHandler::Handle(const Event& event) {
  const Effect effect =
      std::visit([this](const auto& held) { return Apply(held); }, event);
  if (effect == Effect::kPass) {
    quarantine_manager_.SendProbes();
    holds_.ClaimReady();
    placer_.Pass();
  }
}

EventHandler::Effect EventHandler::Apply(const Tick& /*event*/) {
  return Effect::kPass;
}

EventHandler::Effect EventHandler::Apply(const PolicyChanged& event) {
  core_.policy.Set(event.policy);
  core_.teams.SetPolicy(event.policy.teams);
  return Effect::kPass;
}

EventHandler::Effect EventHandler::Apply(const WorkerUp& event) {
  const WorkerState* known = core_.fleet.Find(event.worker);
  const bool is_old =
      known != nullptr && (event.incarnation < known->incarnation ||
                           (event.incarnation == known->incarnation &&
                            known->phase == WorkerPhase::kFreed));
  const bool is_valid = IsNonNegative(event.capacity) &&
                        std::ranges::all_of(event.runners, [](const auto& it) {
                          return IsNonNegative(it.reserved);
                        });
  if (is_old || !is_valid) {
    return Effect::kNone;
  }
  // The worker may have moved to another rack, so its tasks are recounted.
  if (known != nullptr) {
    std::ranges::for_each(known->tasks, [](const TaskState* task) {
      SeparationRules::Discount(*task);
    });
  }
  const bool is_new_incarnation =
      known != nullptr && known->incarnation < event.incarnation;
  WorkerState& worker = core_.fleet.Announce(event);
  std::ranges::for_each(worker.tasks, [](const TaskState* task) {
    SeparationRules::Count(*task);
  });
  core_.teams.SetTotal(core_.fleet.total());
  if (is_new_incarnation) {
    quarantine_manager_.CarryOver(worker);
  }
  for (RunnerState& runner : worker.runners) {
    if (runner.first_report_by == Instant()) {
      runner.first_report_by = core_.now + kFirstReportWithin;
    }
  }
  core_.RecordLoads(worker);
  EvictForRunners(worker);
  return Effect::kPass;
}

EventHandler::Effect EventHandler::Apply(const WorkerAssigned& event) {
  WorkerState* worker = core_.fleet.Find(event.worker);
  if (worker == nullptr) {
    return Effect::kNone;
  }
  core_.fleet.SetAssigned(*worker, event.is_assigned);
  return Effect::kPass;
}

EventHandler::Effect EventHandler::Apply(const WorkerDraining& event) {
  WorkerState* worker = core_.fleet.Find(event.worker);
  if (worker != nullptr && worker->incarnation == event.incarnation &&
      worker->phase == WorkerPhase::kUp) {
    core_.fleet.SetPhase(*worker, WorkerPhase::kDraining);
    core_.teams.SetTotal(core_.fleet.total());
  }
  return Effect::kNone;
}

EventHandler::Effect EventHandler::Apply(const WorkerLapsed& event) {
  WorkerState* worker = core_.fleet.Find(event.worker);
  if (worker != nullptr && worker->incarnation == event.incarnation &&
      worker->phase != WorkerPhase::kFreed) {
    core_.fleet.SetPhase(*worker, WorkerPhase::kLapsed);
    core_.teams.SetTotal(core_.fleet.total());
  }
  return Effect::kNone;
}

EventHandler::Effect EventHandler::Apply(const WorkerFreed& event) {
  WorkerState* worker = core_.fleet.Find(event.worker);
  if (worker == nullptr) {
    return Effect::kNone;
  }
  if (worker->incarnation <= event.incarnation) {
    core_.fleet.SetPhase(*worker, WorkerPhase::kFreed);
    core_.teams.SetTotal(core_.fleet.total());
  }
  std::vector<TaskState*> ended;
  std::ranges::copy_if(worker->tasks, std::back_inserter(ended),
                       [&](const TaskState* task) {
                         return task->incarnation <= event.incarnation;
                       });
  for (TaskState* task : ended) {
    if (task->job->is_closed) {
      core_.FinishTask(*task);
    } else {
      core_.EndAttempt(*task);
    }
  }
  return Effect::kPass;
}

EventHandler::Effect EventHandler::Apply(const WorkerQuarantined& event) {
  WorkerState* worker = core_.fleet.Find(event.worker);
  if (worker == nullptr || worker->incarnation != event.incarnation) {
    return Effect::kNone;
  }
  quarantine_manager_.OnQuarantineRecord(*worker, event.is_quarantined);
  return Effect::kPass;
}

EventHandler::Effect EventHandler::Apply(const JobSubmitted& event) {
  if (event.tasks == 0 || !IsNonNegative(event.declared)) {
    return Effect::kNone;
  }
  JobState* job = core_.jobs.Add(event.job);
  if (job == nullptr) {
    return Effect::kNone;
  }
  job->customer = event.customer;
  job->team = core_.teams.NumberOf(event.team);
  job->shape = {core_.NumberOf(event.kind), event.declared, event.declared_run};
  job->priority = event.priority;
  job->is_urgent = event.is_urgent;
  job->is_checkpointable = event.is_checkpointable;
  job->deadline = event.deadline;
  job->separation = event.separation;
  std::ranges::transform(
      event.separation.apart_from, std::back_inserter(job->apart_from),
      [this](const KindId& it) { return core_.NumberOf(it); });
  core_.separations.AddJob(*job);
  job->submitted_at = core_.now;
  job->was_claimed.assign(event.tasks, false);
  job->unfinished = event.tasks;
  job->wait_state = {WaitReason::kNotTriedYet, core_.now};
  for (const uint32_t index : event.ended) {
    if (index < event.tasks && !job->was_claimed[index] &&
        job->unfinished > 1) {
      core_.FinishTask(core_.jobs.GetOrAddTask(*job, index));
    }
  }
  core_.Requeue(*job);
  return Effect::kPass;
}

EventHandler::Effect EventHandler::Apply(const JobCancelled& event) {
  JobState* job = core_.jobs.Find(event.job);
  if (job == nullptr) {
    core_.jobs.MarkEnded(event.job);
    return Effect::kNone;
  }
  core_.CloseJob(*job, Refused{RefusalReason::kJobCancelled},
                 EvictionReason::kJobCancelled);
  return Effect::kPass;
}

EventHandler::Effect EventHandler::Apply(const JobRefused& event) {
  JobState* job = core_.jobs.Find(event.job);
  if (job == nullptr) {
    core_.jobs.MarkEnded(event.job);
    return Effect::kNone;
  }
  core_.CloseJob(*job, Refused{event.reason}, EvictionReason::kJobRefused);
  return Effect::kPass;
}

EventHandler::Effect EventHandler::Apply(const ClaimAccepted& event) {
  JobState* job = core_.jobs.Find(event.task.job);
  WorkerState* worker = core_.fleet.Find(event.worker);
  if (job == nullptr || worker == nullptr ||
      event.task.index >= job->was_claimed.size() ||
      !IsNonNegative(event.grant)) {
    return Effect::kNone;
  }
  TaskState* known = core_.jobs.Find(event.task);
  const bool was_finished =
      known == nullptr && job->was_claimed[event.task.index];
  if (was_finished || event.incarnation < worker->incarnation ||
      worker->phase == WorkerPhase::kFreed) {
    return Effect::kNone;
  }
  TaskState& task = core_.jobs.GetOrAddTask(*job, event.task.index);
  const bool is_own = task.is_in_flight && task.attempt == event.attempt &&
                      task.worker == worker;
  if (is_own) {
    core_.ResolveClaim(task);
    if (task.phase == TaskPhase::kClaiming) {
      task.phase = TaskPhase::kClaimed;
    }
    return Effect::kNone;
  }
  if (event.attempt < task.attempt ||
      (event.attempt == task.attempt && !task.is_in_flight)) {
    return Effect::kNone;
  }
  core_.AttachAttempt(task, *worker, event.attempt, event.grant);
  if (job->is_closed) {
    core_.Evict(task, EvictionReason::kJobCancelled);
  }
  return Effect::kNone;
}

EventHandler::Effect EventHandler::Apply(const ClaimRejected& event) {
  TaskState* task = FindLive(event.task, event.attempt);
  if (task == nullptr || !task->is_in_flight) {
    return Effect::kNone;
  }
  ++core_.counters.claims_rejected;
  JobState& job = *task->job;
  if (event.reason == ClaimRejection::kWorkerGone ||
      event.reason == ClaimRejection::kNoCapacity) {
    task->worker->claim_again_at = core_.now + core_.settings.rejected_pause;
  }
  if (job.is_closed || event.reason == ClaimRejection::kTaskEnded) {
    core_.FinishTask(*task);
    return Effect::kPass;
  }
  task->attempt = Attempt(task->attempt.value() - 1);
  core_.EndAttempt(*task);
  job.wait_state = {WaitReason::kClaimRejected, core_.now};
  job.next_try_at = core_.now + core_.settings.rejected_pause;
  return Effect::kPass;
}

EventHandler::Effect EventHandler::Apply(const TaskStarted& event) {
  TaskState* task = FindLive(event.task, event.attempt);
  if (task != nullptr && (task->phase == TaskPhase::kClaimed ||
                          task->phase == TaskPhase::kClaiming)) {
    core_.ResolveClaim(*task);
    task->phase = TaskPhase::kRunning;
    task->started_at = core_.now;
  }
  return Effect::kNone;
}

EventHandler::Effect EventHandler::Apply(const TaskEnded& event) {
  TaskState* task = FindLive(event.task, event.attempt);
  if (task == nullptr) {
    return Effect::kNone;
  }
  core_.ResolveClaim(*task);
  const bool has_failed = event.ending == records::TaskEnding::kFailed;
  if (has_failed || event.ending == records::TaskEnding::kFinished) {
    quarantine_manager_.OnAttemptEnded(*task, has_failed);
  }
  if (event.ending == records::TaskEnding::kFinished || task->job->is_closed) {
    CompleteTask(*task, event);
    return Effect::kPass;
  }
  if (event.ending == records::TaskEnding::kCheckpointed) {
    task->checkpoint = event.checkpoint;
    task->checkpoint_permille = task->progress_permille;
  }
  task->progress_permille = task->checkpoint_permille;
  core_.EndAttempt(*task);
  if (has_failed) {
    quarantine_manager_.RefuseIfFailingEverywhere(*task);
  }
  return Effect::kPass;
}

EventHandler::Effect EventHandler::Apply(const GrantConfirmed& event) {
  TaskState* task = FindLive(event.task, event.attempt);
  if (task == nullptr || task->wanted == task->grant ||
      task->wanted != event.grant) {
    return Effect::kNone;
  }
  core_.SettleGrant(*task, true);
  return Effect::kPass;
}

EventHandler::Effect EventHandler::Apply(const GrantRecorded& event) {
  TaskState* task = FindLive(event.task, event.attempt);
  if (task == nullptr || task->grant == event.grant ||
      !IsNonNegative(event.grant)) {
    return Effect::kNone;
  }
  core_.ApplyGrant(*task, event.grant);
  return Effect::kPass;
}

EventHandler::Effect EventHandler::Apply(const GrantRefused& event) {
  TaskState* task = FindLive(event.task, event.attempt);
  if (task == nullptr || task->wanted == task->grant ||
      task->wanted != event.grant) {
    return Effect::kNone;
  }
  core_.SettleGrant(*task, false);
  return Effect::kPass;
}

EventHandler::Effect EventHandler::Apply(const UsageReported& event) {
  grant_adjuster_.OnReport(event);
  return Effect::kNone;
}

EventHandler::Effect EventHandler::Apply(const LatencyReported& event) {
  mitigator_.OnReport(event);
  return Effect::kNone;
}

EventHandler::Effect EventHandler::Apply(const KnowledgeNoted& event) {
  Import(core_, event);
  return Effect::kNone;
}

EventHandler::Effect EventHandler::Apply(const RegionCutOff& /*event*/) {
  core_.is_cut_off = true;
  return Effect::kNone;
}

EventHandler::Effect EventHandler::Apply(const RegionRejoined& /*event*/) {
  core_.is_cut_off = false;
  return Effect::kPass;
}

TaskState* EventHandler::FindLive(const TaskId& id, Attempt attempt) {
  TaskState* task = core_.jobs.Find(id);
  const bool is_last =
      task != nullptr && IsLive(*task) && task->attempt == attempt;
  return is_last ? task : nullptr;
}

void EventHandler::EvictForRunners(WorkerState& worker) {
  std::vector<TaskState*> victims = worker.tasks;
  std::ranges::sort(victims, {}, [this](const TaskState* task) {
    return core_.LostWork(*task);
  });
  Resources left = worker.capacity - worker.reserved;
  for (const TaskState* task : worker.tasks) {
    if (task->phase != TaskPhase::kStopping) {
      left = left - task->committed;
    }
  }
  for (TaskState* task : victims) {
    if (IsNonNegative(left)) {
      return;
    }
    if (task->phase != TaskPhase::kStopping) {
      left = left + task->committed;
      core_.Evict(*task, EvictionReason::kRunnerNeedsCapacity);
    }
  }
}

void EventHandler::CompleteTask(TaskState& task, const TaskEnded& event) {
  const bool is_whole = task.has_full_grant && task.checkpoint.is_empty();
  if (event.ending == records::TaskEnding::kFinished && is_whole) {
    core_.usage.ObserveRun(task.job->shape, core_.now - task.started_at);
  }
  // Another task of the job may fit into the freed capacity.
  task.job->next_try_at = std::min(task.job->next_try_at, core_.now);
  core_.FinishTask(task);
}

}  // namespace papayadrift::placement
