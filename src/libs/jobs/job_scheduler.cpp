#include "jobs/job_scheduler.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "base/lookup.h"
#include "jobs/ready_step.h"
#include "jobs/runner_choice.h"

namespace papayadrift::jobs {
namespace {

Run RunOf(const Step& step, uint32_t number) {
  Run run;
  run.number = number;
  run.need = step.need;
  run.image = step.image;
  run.tail_target_ms = step.tail_target_ms;
  run.is_filler = step.is_filler;
  run.is_gang = step.is_gang;
  run.is_serving = step.tail_target_ms > 0;
  run.is_long_running = step.is_long_running;
  return run;
}

}  // namespace

std::string_view ToText(JobSchedulerEvent::Kind kind) {
  using Kind = JobSchedulerEvent::Kind;
  switch (kind) {
    case Kind::kRunClaimed:
      return "claimed";
    case Kind::kRunEnded:
      return "ended";
    case Kind::kRunWithdrawn:
      return "withdrawn";
    case Kind::kRunStopped:
      return "stopped";
    case Kind::kStopOverdue:
      return "stop_overdue";
    case Kind::kRunLost:
      return "lost";
    case Kind::kTaskGivenUp:
      return "given_up";
    case Kind::kJobEnded:
      return "ended";
    case Kind::kRunnerJoined:
      return "joined";
    case Kind::kRunnerGone:
      return "gone";
    case Kind::kRunnerCrashed:
      return "crashed";
    case Kind::kRunnerDraining:
      return "draining";
    case Kind::kRunnerSuspended:
      return "suspended";
    case Kind::kLeaseRefused:
      return "lease_refused";
    case Kind::kRunPaced:
      return "paced";
    case Kind::kTargetMissed:
      return "target_missed";
    case Kind::kTargetMet:
      return "target_met";
    case Kind::kEndAcknowledged:
      return "end_acknowledged";
    case Kind::kEndUnmatched:
      return "end_unmatched";
    case Kind::kEndInvalid:
      return "end_invalid";
    case Kind::kZoneEvacuated:
      return "evacuated";
    case Kind::kZoneReopened:
      return "reopened";
    case Kind::kCapacityReserved:
      return "capacity_reserved";
    case Kind::kReservationUsed:
      return "reservation_used";
    case Kind::kReservationEnded:
      return "reservation_ended";
    case Kind::kTaskHeldBack:
      return "held_back";
  }
  return "unknown";
}

JobScheduler::JobScheduler(const JobSchedulerSettings& settings,
                           Instant now,
                           JobSchedulerEventListener event_listener,
                           std::optional<Instant> last_granted_at)
    : settings_(settings),
      created_at_(now),
      last_granted_at_(std::min(now, last_granted_at.value_or(now))),
      event_listener_(std::move(event_listener)) {}

void JobScheduler::Emit(JobSchedulerEvent::Kind kind,
                        std::string subject,
                        uint32_t run,
                        std::string runner,
                        std::string reason) const {
  if (event_listener_) {
    event_listener_(JobSchedulerEvent{kind, std::move(subject), run,
                                      std::move(runner), std::move(reason)});
  }
}

Instant JobScheduler::LeaseExpiry(Instant lease_end) const {
  return lease_end + settings_.lease * settings_.clock_error_percent / 100 +
         settings_.lease_expiry_margin;
}

Instant JobScheduler::ExpiryOfEarlierLeases() const {
  return std::max(LeaseExpiry(last_granted_at_ + settings_.lease),
                  created_at_ + settings_.takeover_report_time);
}

void JobScheduler::OnJobsViewed(Instant viewed_at) {
  jobs_viewed_at_ = std::max(jobs_viewed_at_, viewed_at);
}

Instant JobScheduler::ViewedAt() const {
  return settings_.zones_view_limit
             ? std::min(jobs_viewed_at_,
                        zones_viewed_at_ + (*settings_.zones_view_limit -
                                            settings_.view_limit))
             : jobs_viewed_at_;
}

bool JobScheduler::MaySendStarts(Instant now) const {
  return now - ViewedAt() < settings_.view_limit;
}

bool JobScheduler::MayClaim(Instant now) const {
  return now - ViewedAt() < settings_.view_limit - settings_.start_delivery;
}

uint64_t JobScheduler::Change(const TaskKey& task) {
  changed_tasks_.insert(task);
  if (Entry* entry = FindOrNull(jobs_, task.job)) {
    entry->tally.reset();
  }
  return ++version_;
}

void JobScheduler::SetRoutes(RouteTable routes) {
  routes_ = std::move(routes);
  std::ranges::stable_sort(routes_.queues, {}, &Queue::name);
  // Steps may go to other runners from now on.
  for (Entry* entry : open_ | std::views::values) {
    entry->tally.reset();
    for (WaitingStep& it : entry->waiting | std::views::values) {
      it.failed.reset();
      it.failed_after_wait.reset();
    }
  }
}

void JobScheduler::AddJob(const JobId& id, Job job) {
  const auto [it, is_new] = jobs_.try_emplace(id);
  if (!is_new) {
    return;
  }
  Entry& entry = it->second;
  entry.progress = InitialProgress(job);
  std::ranges::transform(
      job.steps, std::back_inserter(entry.means),
      [&](const Step& step) { return durations_.MeanOf(job.queue, step); });
  entry.job = std::move(job);
  open_.emplace(id, &entry);
}

void JobScheduler::Restore(const JobId& id, const StoredProgress& stored) {
  Entry* entry = FindOrNull(jobs_, id);
  if (entry == nullptr) {
    return;
  }
  entry->progress.outcome = stored.outcome;
  DropOccurrences(entry->job, stored.first_occurrence, entry->progress);
  entry->is_start_stored = stored.first_occurrence > 0;
  entry->tally.reset();
  if (stored.outcome != JobOutcome::kOpen) {
    open_.erase(id);
    entry->ended_at = created_at_;
  }
  for (const auto& [key, task] : stored.tasks) {
    TaskProgress* known = FindTask(entry->progress, key);
    if (known == nullptr) {
      if (key.occurrence < entry->progress.first_occurrence) {
        // The last leader ended before it had stored that it isn't needed.
        Change(key);
      }
      continue;
    }
    *known = task;
    entry->is_start_stored = entry->is_start_stored || HasStarted(task);
    if (task.phase != TaskPhase::kClaimed) {
      if (stored.outcome != JobOutcome::kOpen) {
        // The last leader ended before it had stored that it isn't needed.
        Change(key);
      }
      continue;
    }
    Runner& runner = fleet_.Get(task.incarnation);
    runner.report.incarnation = task.incarnation;
    runner.lease_expires_at = ExpiryOfEarlierLeases();
    Run run = RunOf(entry->job.steps[key.step], task.run);
    run.sends = 2;
    run.is_withdrawn = stored.outcome != JobOutcome::kOpen;
    run.withdrawn_at = created_at_;
    run.checkpoint = task.checkpoint;
    run.claimed_at = created_at_;
    run.expected_ms =
        entry->means[key.step]->Expect(entry->job.steps[key.step].estimated_ms);
    run.progressed_at = created_at_;
    run.is_pace_unknown = run.is_filler;
    run.pace_may_change_until = created_at_ + settings_.late_order_limit;
    run.is_isolated = CrashRecord(key)->crashes > 0;
    runner.runs[key] = std::move(run);
  }
  SettlePartialGangs(id, *entry);
  if (stored.outcome == JobOutcome::kOpen) {
    DropDoneOccurrences(id, *entry);
  }
}

void JobScheduler::SettlePartialGangs(const JobId& id, Entry& entry) {
  const uint32_t first = entry.progress.first_occurrence;
  for (uint32_t k = 0; k < entry.progress.occurrences.size(); ++k) {
    auto& steps = entry.progress.occurrences[k].steps;
    for (uint32_t s = 0; s < steps.size(); ++s) {
      if (!entry.job.steps[s].is_gang) {
        continue;
      }
      const auto has_phase = [](TaskPhase phase) {
        return
            [phase](const TaskProgress& task) { return task.phase == phase; };
      };
      const bool is_done =
          std::ranges::any_of(steps[s], has_phase(TaskPhase::kDone));
      if (is_done) {
        // The end of one member completes all members.
        for (uint32_t i = 0; i < steps[s].size(); ++i) {
          if (std::exchange(steps[s][i].phase, TaskPhase::kDone) !=
              TaskPhase::kDone) {
            Change({id, first + k, s, i});
          }
        }
      }
      if (is_done ||
          std::ranges::any_of(steps[s], has_phase(TaskPhase::kWaiting))) {
        // Not the name of a member, so that none is left out.
        const auto end = static_cast<uint32_t>(steps[s].size());
        WithdrawGang({id, first + k, s, end}, created_at_);
      }
    }
  }
}

void JobScheduler::Cancel(const JobId& id, Instant now) {
  if (open_.contains(id)) {
    CloseJob(id, JobOutcome::kCancelled, now);
  }
}

LearnedModel JobScheduler::learned() const {
  return {interference_.Weights(), durations_.Durations()};
}

void JobScheduler::ImportLearned(const LearnedModel& learned) {
  interference_.ImportWeights(learned.weights);
  durations_.ImportDurations(learned.durations);
}

const Queue* JobScheduler::FindQueue(const std::string& name) const {
  const auto it =
      std::ranges::lower_bound(routes_.queues, name, {}, &Queue::name);
  return it == routes_.queues.end() || it->name != name ? nullptr : &*it;
}

TaskProgress* JobScheduler::TaskOf(const TaskKey& task) {
  Entry* entry = FindOrNull(jobs_, task.job);
  return entry == nullptr ? nullptr : FindTask(entry->progress, task);
}

const Step* JobScheduler::FindStep(const TaskKey& task) const {
  const Entry* entry = FindOrNull(jobs_, task.job);
  return entry == nullptr || task.step >= entry->job.steps.size()
             ? nullptr
             : &entry->job.steps[task.step];
}

void JobScheduler::OnStarted(const TaskKey& task, Instant now) {
  // A second is left of the two by which the count of jobs that have not begun
  // may be late, for the record to be written and read.
  constexpr milliseconds kStoreDelay(1000);
  TaskProgress* progress = TaskOf(task);
  if (progress == nullptr || std::exchange(progress->has_started, true)) {
    return;
  }
  if (open_.contains(task.job) && !jobs_.at(task.job).is_start_stored) {
    unstored_starts_.try_emplace(task.job, task, now + kStoreDelay);
  }
}

void JobScheduler::StoreOverdueStarts(Instant now) {
  std::erase_if(unstored_starts_, [&](const auto& it) {
    const UnstoredStart& start = it.second;
    if (now < start.due) {
      return false;
    }
    Change(start.task);
    return true;
  });
}

void JobScheduler::OnStored(uint64_t version) {
  stored_version_ = std::max(stored_version_, version);
  for (Runner& runner : fleet_.runners() | std::views::values) {
    auto& ends = runner.unstored_ends;
    while (!ends.empty() && ends.begin()->second.version <= stored_version_) {
      const auto& [number, end] = *ends.begin();
      runner.recorded_ends = number;
      Emit(JobSchedulerEvent::Kind::kEndAcknowledged, ToText(end.task), end.run,
           ToText(runner.report.incarnation),
           DescribeAcknowledgement(number, end));
      ends.erase(ends.begin());
    }
  }
}

uint64_t JobScheduler::RecordedEnds(
    const RunnerIncarnation& incarnation) const {
  const Runner* runner = fleet_.Find(incarnation);
  return runner == nullptr ? 0 : runner->recorded_ends;
}

const JobTally& JobScheduler::TallyOfEntry(Entry& entry) {
  if (!entry.tally) {
    entry.tally = TallyOf(entry.job, entry.progress);
    for (const Step& step : entry.job.steps) {
      tallied_tasks_ += step.count * entry.progress.occurrences.size();
    }
  }
  return *entry.tally;
}

const OccurrenceTally& JobScheduler::OccurrenceTallyOf(Entry& entry,
                                                       uint32_t occurrence) {
  return TallyOfEntry(entry)
      .occurrences[occurrence - entry.progress.first_occurrence];
}

void JobScheduler::AddReadySteps(const JobId& id,
                                 Entry& entry,
                                 const Queue& queue,
                                 int64_t unix_ms,
                                 std::vector<ReadyStep>& ready) const {
  const Job& job = entry.job;
  std::vector<int64_t> expected_ms;
  for (size_t s = 0; s < job.steps.size(); ++s) {
    expected_ms.push_back(entry.means[s]->Expect(job.steps[s].estimated_ms));
  }
  const std::vector<int64_t> chains = CriticalPathsMs(job, expected_ms);
  const int64_t longest_ms = std::ranges::max(chains);
  for (uint32_t i = 0; i < entry.tally->occurrences.size(); ++i) {
    const uint32_t k = entry.progress.first_occurrence + i;
    const OccurrenceTally& tally = entry.tally->occurrences[i];
    if (!IsDue(job, k, unix_ms) ||
        std::ranges::none_of(tally, &StepTally::may_start)) {
      continue;
    }
    const int64_t work = RemainingWork(job, tally, expected_ms);
    for (uint32_t s = 0; s < job.steps.size(); ++s) {
      if (tally[s].may_start) {
        ready.push_back(
            {RankOf(job, queue, k, longest_ms, chains[s], work, unix_ms), &id,
             &entry, k, s, &queue, chains[s], tally[s]});
      }
    }
  }
}

std::vector<JobScheduler::ReadyStep> JobScheduler::ReadySteps(int64_t unix_ms) {
  std::vector<ReadyStep> ready;
  for (const auto& [id, entry] : open_) {
    if (!TallyOfEntry(*entry).may_start) {
      continue;
    }
    if (const Queue* queue = FindQueue(entry->job.queue)) {
      AddReadySteps(id, *entry, *queue, unix_ms, ready);
    }
  }
  GiveTurns(ready, unix_ms);
  std::ranges::sort(ready, {}, &ReadyStep::rank);
  return ready;
}

void JobScheduler::Advance(Instant now, int64_t unix_ms) {
  unix_ms_ = unix_ms;
  std::vector<std::pair<RunnerIncarnation, std::string>> lost;
  for (const auto& [incarnation, runner] : fleet_.runners()) {
    if (auto reason = LossOf(runner, now)) {
      lost.emplace_back(incarnation, std::move(*reason));
    }
  }
  for (const auto& [incarnation, reason] : lost) {
    // A process that was unreachable until its lease ended has crashed as far
    // as can be told.
    const Runner& runner = *fleet_.Find(incarnation);
    RemoveRunner(incarnation, reason,
                 CrashOf(runner, runner.report, runner.reported_at), now);
  }
  StoreOverdueStarts(now);
  has_more_to_place_ = false;
  if (!MayClaim(now)) {
    return;
  }
  MoveFromEvacuatedZones(now);
  RelocateFillers(now);
  RegroupServing(now);
  ReviewReservations(now);
  waiting_in_round_ = 0;
  claims_of_round_ = 0;
  unplaceable_.clear();
  services_with_waiting_work_.clear();
  const std::vector<ReadyStep> steps = ReadySteps(unix_ms);
  NoteLargeSizes(steps, now);
  for (const ReadyStep& ready : steps) {
    if (has_more_to_place_) {
      return;
    }
    if (YieldsToEarningWork(ready, now)) {
      waiting_in_round_ += ready.tally.waiting;
      continue;
    }
    const size_t waiting_before = waiting_in_round_;
    if (ready.entry->job.steps[ready.step].is_gang) {
      PlaceGang(ready, now);
    } else {
      PlaceStep(ready, now);
    }
    if (settings_.policy.scarcity.turn_order.is_enabled &&
        !ready.rank.is_past_cutoff && waiting_in_round_ > waiting_before) {
      services_with_waiting_work_.insert(ready.queue->service);
    }
  }
  if (!has_more_to_place_) {
    waiting_tasks_ = waiting_in_round_;
    MakeReservations(steps, now);
  }
}

void JobScheduler::Claim(const TaskKey& task,
                         uint32_t number,
                         const Step& step,
                         const Runner& chosen,
                         const ReadyStep& ready,
                         const BackfillClaim& claim,
                         Instant now) {
  ++claims_of_round_;
  TaskProgress& progress = *TaskOf(task);
  progress.phase = TaskPhase::kClaimed;
  progress.run = number;
  progress.incarnation = chosen.report.incarnation;
  Run run = RunOf(step, number);
  run.claim_version = Change(task);
  run.claimed_at = now;
  run.send_due = now;
  run.checkpoint = progress.checkpoint;
  run.progressed_at = now;
  run.expected_ms = ready.entry->means[ready.step]->Expect(step.estimated_ms);
  run.remaining_ms = ready.remaining_ms;
  run.target_ms = ready.rank.target_ms;
  run.cutoff_ms = ready.rank.cutoff_ms;
  run.is_isolated = CrashRecord(task)->crashes > 0;
  Emit(JobSchedulerEvent::Kind::kRunClaimed, ToText(task), number,
       ToText(chosen.report.incarnation),
       "The last report was " +
           std::to_string(
               std::chrono::floor<milliseconds>(now - chosen.reported_at)
                   .count()) +
           " ms old, under configuration " + std::to_string(routes_.version) +
           ".");
  Runner& runner = fleet_.Get(chosen.report.incarnation);
  if (runner.reserved_for == CrashRecordOf(task, step.is_gang)) {
    runner.reserved_until = Instant();
    fleet_.MarkChanged(runner);
  }
  if (runner.capacity_reservation) {
    OnClaimBesideReservation(runner, task, ready, claim, now);
  }
  runner.runs[task] = std::move(run);
  runner.headrooms.reset();
}

bool JobScheduler::IsKnownUnplaceable(const ReadyStep& ready,
                                      const WaitingStep& waiting,
                                      const BackfillClaim& claim) const {
  const Step& step = ready.entry->job.steps[ready.step];
  return std::ranges::any_of(unplaceable_, [&](const UnplaceableNeed& it) {
    return it.service == ready.queue->service && it.image == step.image &&
           it.required_label == step.required_label &&
           it.is_filler == step.is_filler && FitsIn(it.need, step.need) &&
           (!it.held_back || (waiting.reservations == 0 &&
                              IsHeldBackLike(claim, *it.held_back)));
  });
}

void JobScheduler::PlaceStep(const ReadyStep& ready, Instant now) {
  const Step& step = ready.entry->job.steps[ready.step];
  auto& tasks = TasksOfStep(ready.entry->progress,
                            {*ready.id, ready.occurrence, ready.step, 0});
  const std::pair position(ready.occurrence, ready.step);
  WaitingStep& waiting =
      ready.entry->waiting.try_emplace(position, WaitingStep{now})
          .first->second;
  bool has_waited =
      step.is_filler && now - waiting.since >= settings_.longest_wait;
  const BackfillClaim claim = ClaimOf(ready, waiting, now);
  bool has_room = has_waited || !IsKnownUnplaceable(ready, waiting, claim);
  uint32_t still_waiting = ready.tally.waiting;  // From the next task on.
  for (uint32_t i = 0; i < tasks.size(); ++i) {
    if (tasks[i].phase != TaskPhase::kWaiting) {
      continue;
    }
    if (claims_of_round_ >= settings_.max_claims_per_round) {
      has_more_to_place_ = true;
      return;
    }
    if (!has_room && !ready.tally.has_crashed) {
      waiting_in_round_ += still_waiting;
      return;
    }
    --still_waiting;
    const bool is_isolated = tasks[i].crashes > 0;
    if (!is_isolated && !has_room) {
      ++waiting_in_round_;
      continue;
    }
    const TaskKey task{*ready.id, ready.occurrence, ready.step, i};
    PlacementRequest request{task, &step, ready.queue->service, std::nullopt};
    request.has_waited = has_waited;
    request.claim = claim;
    const Runner* held_back_from = nullptr;
    request.held_back_from = &held_back_from;
    request.large_sizes = FindOrNull(large_sizes_, ready.queue->service);
    if (const auto* failed = FindOrNull(ready.entry->failed_on, task)) {
      request.avoided = *failed;
    }
    const Runner* runner = nullptr;
    if (is_isolated) {
      runner = ChooseIsolated(request, now);
    } else {
      std::optional<PlacementAttempt>& failed_attempt =
          has_waited ? waiting.failed_after_wait : waiting.failed;
      request.failed_attempt = failed_attempt;
      runner =
          ChooseRunner(fleet_, interference_, settings_.policy, request, now);
      has_room = runner != nullptr;
      if (!has_room) {
        failed_attempt = PlacementAttempt{fleet_.changes(), now};
      }
      if (!has_room && !has_waited && step.max_per_runner == 0) {
        unplaceable_.push_back(
            {ready.queue->service, step.image, step.required_label,
             step.is_filler, step.need,
             held_back_from == nullptr ? std::nullopt : std::optional(claim)});
      }
      if (!has_room && held_back_from != nullptr) {
        OnHeldBack(task, *held_back_from, waiting);
      }
      has_waited = false;
    }
    if (runner == nullptr) {
      ++waiting_in_round_;
      continue;
    }
    Claim(task, tasks[i].run + 1, step, *runner, ready, claim, now);
    waiting.since = now;
    waiting.is_held_back = false;
  }
}

std::vector<RunnerIncarnation> JobScheduler::ChooseGangRunners(
    PlacementRequest request,
    uint32_t number,
    Instant now) const {
  const Step& step = *request.step;
  // Members are placed on a copy, as each reduces the capacity left for the
  // next.
  Fleet trial = fleet_;
  std::vector<RunnerIncarnation> chosen_runners;
  for (request.task.index = 0; request.task.index < step.count;
       ++request.task.index) {
    const Runner* runner =
        ChooseRunner(trial, interference_, settings_.policy, request, now);
    if (runner == nullptr) {
      return {};
    }
    chosen_runners.push_back(runner->report.incarnation);
    Runner& chosen = trial.Get(chosen_runners.back());
    chosen.runs[request.task] = RunOf(step, number);
    if (chosen.capacity_reservation) {
      OnBackfilled(*chosen.capacity_reservation, ReservableNeed(step),
                   request.claim, now);
    }
  }
  return chosen_runners;
}

bool JobScheduler::PlaceGang(const ReadyStep& ready, Instant now) {
  if (claims_of_round_ >= settings_.max_claims_per_round) {
    has_more_to_place_ = true;
    return false;
  }
  const Step& step = ready.entry->job.steps[ready.step];
  auto& tasks = TasksOfStep(ready.entry->progress,
                            {*ready.id, ready.occurrence, ready.step, 0});
  uint32_t number = 0;
  std::string checkpoint;
  for (const TaskProgress& task : tasks) {
    number = std::max(number, task.run);
    checkpoint = std::max(checkpoint, task.checkpoint);
  }
  PlacementRequest request{{*ready.id, ready.occurrence, ready.step, 0},
                           &step,
                           ready.queue->service,
                           std::nullopt};
  request.is_isolated = tasks.front().crashes > 0;
  const std::pair position(ready.occurrence, ready.step);
  const WaitingStep& waiting =
      ready.entry->waiting.try_emplace(position, WaitingStep{now})
          .first->second;
  request.has_waited =
      step.is_filler && now - waiting.since >= settings_.longest_wait;
  request.claim = ClaimOf(ready, waiting, now);
  const std::vector<RunnerIncarnation> chosen_runners =
      ChooseGangRunners(request, number + 1, now);
  if (chosen_runners.empty()) {
    waiting_in_round_ += tasks.size();
    if (request.is_isolated && !HasReservation(request, now)) {
      request.may_wait_for_isolation = true;
      for (const RunnerIncarnation& chosen :
           ChooseGangRunners(request, number + 1, now)) {
        Reserve(*fleet_.Find(chosen), request, now);
      }
    }
    return false;
  }
  for (uint32_t i = 0; i < tasks.size(); ++i) {
    tasks[i].checkpoint = checkpoint;
    Claim({*ready.id, ready.occurrence, ready.step, i}, number + 1, step,
          *fleet_.Find(chosen_runners[i]), ready, request.claim, now);
  }
  ready.entry->waiting.erase(position);
  return true;
}

std::optional<Instant> JobScheduler::EndedAt(const JobId& id) const {
  const Entry* entry = FindOrNull(jobs_, id);
  return entry == nullptr || open_.contains(id)
             ? std::nullopt
             : std::optional<Instant>(entry->ended_at);
}

std::vector<JobId> JobScheduler::ExpiredJobs(Instant now,
                                             size_t max_count) const {
  std::vector<JobId> expired;
  for (const auto& [id, entry] : jobs_) {
    if (expired.size() < max_count && !open_.contains(id) &&
        entry.ended_version <= stored_version_ &&
        now - entry.ended_at > settings_.retention) {
      expired.push_back(id);
    }
  }
  return expired;
}

JobScheduler::Changes JobScheduler::TakeChanges() {
  Changes changes{version_, {}, {}};
  taken_version_ = version_;
  for (const JobId& id : changed_outcomes_) {
    if (const Entry* entry = FindOrNull(jobs_, id)) {
      changes.outcomes.emplace_back(
          id, StoredOutcome{entry->progress.outcome,
                            entry->progress.first_occurrence});
    }
  }
  for (const TaskKey& key : changed_tasks_) {
    const TaskProgress* task = TaskOf(key);
    // Of an ended job, only tasks that may still be running have to stay
    // stored.
    const bool is_needed =
        task != nullptr &&
        (open_.contains(key.job) || task->phase == TaskPhase::kClaimed);
    if (is_needed && HasStarted(*task)) {
      jobs_.at(key.job).is_start_stored = true;
      unstored_starts_.erase(key.job);
    }
    changes.tasks.emplace_back(
        key, is_needed ? std::optional<TaskProgress>(*task) : std::nullopt);
  }
  changed_outcomes_.clear();
  changed_tasks_.clear();
  return changes;
}

}  // namespace papayadrift::jobs
