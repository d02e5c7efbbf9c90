#include "jobs/board.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "base/lookup.h"
#include "jobs/runner_choice.h"
#include "jobs/work_order.h"

namespace papayadrift::jobs {
namespace {

Run RunOf(const Step& step, uint32_t number) {
  Run run;
  run.number = number;
  run.need = step.need;
  run.image = step.image;
  run.tail_target_ms = step.tail_target_ms;
  run.is_filler = step.is_filler;
  run.is_serving = step.tail_target_ms > 0;
  run.is_long_running = step.is_long_running;
  return run;
}

template <typename Visit>
void ForEachTask(const JobProgress& progress,
                 const JobId& id,
                 const Visit& visit) {
  for (uint32_t k = 0; k < progress.occurrences.size(); ++k) {
    const auto& steps = progress.occurrences[k].steps;
    for (uint32_t s = 0; s < steps.size(); ++s) {
      for (uint32_t i = 0; i < steps[s].size(); ++i) {
        visit(TaskKey{id, k, s, i}, steps[s][i]);
      }
    }
  }
}

}  // namespace

// A step with tasks that wait for room, and what decides its turn.
struct Board::ReadyStep {
  WorkRank rank;
  const JobId* id = nullptr;
  Entry* entry = nullptr;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  const Queue* queue = nullptr;
  int64_t rest_ms = 0;
};

std::string_view ToText(BoardNote::Kind kind) {
  using Kind = BoardNote::Kind;
  switch (kind) {
    case Kind::kRunClaimed:
      return "claimed";
    case Kind::kRunEnded:
      return "ended";
    case Kind::kRunWithdrawn:
      return "withdrawn";
    case Kind::kRunLost:
      return "lost";
    case Kind::kJobEnded:
      return "ended";
    case Kind::kRunnerJoined:
      return "joined";
    case Kind::kRunnerGone:
      return "gone";
    case Kind::kRunnerDraining:
      return "draining";
    case Kind::kRunnerSuspended:
      return "suspended";
    case Kind::kRunPaced:
      return "paced";
    case Kind::kTargetMissed:
      return "target_missed";
    case Kind::kTargetMet:
      return "target_met";
  }
  return "unknown";
}

Board::Board(const BoardSettings& settings, Instant now, NoteListener notes)
    : settings_(settings), begun_at_(now), notes_(std::move(notes)) {}

void Board::Note(BoardNote::Kind kind,
                 std::string subject,
                 uint32_t run,
                 std::string place,
                 std::string reason) const {
  if (notes_) {
    notes_(BoardNote{kind, std::move(subject), run, std::move(place),
                     std::move(reason)});
  }
}

Instant Board::LapseOf(Instant lease_end) const {
  return lease_end + settings_.lease * settings_.clock_error_percent / 100 +
         settings_.lapse_margin;
}

uint64_t Board::Change(const TaskKey& task) {
  changed_tasks_.insert(task);
  return ++version_;
}

void Board::SetRoutes(RouteTable routes) {
  routes_ = std::move(routes);
}

void Board::AddJob(const JobId& id, Job job) {
  const auto [it, is_new] = jobs_.try_emplace(id);
  if (!is_new) {
    return;
  }
  it->second.progress = InitialProgress(job);
  it->second.job = std::move(job);
  open_.insert(id);
}

void Board::Restore(const JobId& id, const StoredProgress& stored) {
  Entry* entry = FindOrNull(jobs_, id);
  if (entry == nullptr) {
    return;
  }
  entry->progress.outcome = stored.outcome;
  if (stored.outcome != JobOutcome::kOpen) {
    open_.erase(id);
    entry->ended_at = begun_at_;
  }
  for (const auto& [key, task] : stored.tasks) {
    TaskProgress* known = FindTask(entry->progress, key);
    if (known == nullptr) {
      continue;
    }
    *known = task;
    if (task.phase != TaskPhase::kClaimed) {
      continue;
    }
    Runner& runner = fleet_.Get(task.life);
    runner.report.life = task.life;
    runner.alive_until = LapseOf(begun_at_ + settings_.lease);
    Run run = RunOf(entry->job.steps[key.step], task.run);
    run.sends = 2;
    run.is_withdrawn = stored.outcome != JobOutcome::kOpen;
    run.checkpoint = task.checkpoint;
    run.progressed_at = begun_at_;
    runner.runs[key] = std::move(run);
  }
}

void Board::Cancel(const JobId& id, Instant now) {
  if (open_.contains(id)) {
    CloseJob(id, JobOutcome::kCancelled, now);
  }
}

Learned Board::learned() const {
  return {interference_.Weights(), durations_.Durations()};
}

void Board::TakeUp(const Learned& learned) {
  interference_.TakeUp(learned.weights);
  durations_.TakeUp(learned.durations);
}

TaskProgress* Board::TaskOf(const TaskKey& task) {
  Entry* entry = FindOrNull(jobs_, task.job);
  return entry == nullptr ? nullptr : FindTask(entry->progress, task);
}

const Step* Board::FindStep(const TaskKey& task) const {
  const Entry* entry = FindOrNull(jobs_, task.job);
  return entry == nullptr || task.step >= entry->job.steps.size()
             ? nullptr
             : &entry->job.steps[task.step];
}

void Board::CheckCompletion(const JobId& id, Instant now) {
  const Entry& entry = jobs_.at(id);
  const bool is_done = std::ranges::all_of(
      entry.progress.occurrences, [](const OccurrenceProgress& occurrence) {
        return std::ranges::all_of(occurrence.steps, [](const auto& tasks) {
          return std::ranges::all_of(tasks, [](const TaskProgress& task) {
            return task.phase == TaskPhase::kDone;
          });
        });
      });
  if (is_done) {
    CloseJob(id, JobOutcome::kCompleted, now);
  }
}

void Board::CloseJob(const JobId& id, JobOutcome outcome, Instant now) {
  Entry& entry = jobs_.at(id);
  entry.progress.outcome = outcome;
  entry.ended_at = now;
  open_.erase(id);
  changed_outcomes_.insert(id);
  ++version_;
  ForEachTask(entry.progress, id, [this](const TaskKey& key, const auto& task) {
    if (task.run > 0) {
      changed_tasks_.insert(key);
    }
  });
  Note(BoardNote::Kind::kJobEnded, id.text(), 0, {},
       outcome == JobOutcome::kCompleted   ? "completed"
       : outcome == JobOutcome::kCancelled ? "cancelled"
                                           : "failed");
  for (Runner& runner : fleet_.runners() | std::views::values) {
    for (auto& [task, run] : runner.runs) {
      if (task.job == id) {
        Withdraw(runner, task, run, "The job has ended.", now);
      }
    }
  }
}

void Board::OnStored(uint64_t version) {
  stored_version_ = std::max(stored_version_, version);
  for (Runner& runner : fleet_.runners() | std::views::values) {
    auto& ends = runner.unstored_ends;
    while (!ends.empty() && ends.begin()->second <= stored_version_) {
      runner.recorded_ends = ends.begin()->first;
      ends.erase(ends.begin());
    }
  }
}

uint64_t Board::RecordedEnds(const RunnerLife& life) const {
  const Runner* runner = fleet_.Find(life);
  return runner == nullptr ? 0 : runner->recorded_ends;
}

bool Board::IsStepReady(const Entry& entry,
                        uint32_t occurrence,
                        uint32_t step,
                        int64_t unix_ms) const {
  if (entry.job.first_due_ms > 0 && DueMs(entry.job, occurrence) > unix_ms) {
    return false;
  }
  const auto& steps = entry.progress.occurrences[occurrence].steps;
  const auto is_waiting = [](const TaskProgress& task) {
    return task.phase == TaskPhase::kWaiting;
  };
  const auto is_done = [](const TaskProgress& task) {
    return task.phase == TaskPhase::kDone;
  };
  const bool may_start = entry.job.steps[step].is_gang
                             ? std::ranges::all_of(steps[step], is_waiting)
                             : std::ranges::any_of(steps[step], is_waiting);
  return may_start &&
         std::ranges::all_of(
             entry.job.steps[step].depends_on, [&](uint32_t earlier) {
               return std::ranges::all_of(steps[earlier], is_done);
             });
}

std::vector<Board::ReadyStep> Board::ReadySteps(int64_t unix_ms) {
  std::vector<ReadyStep> ready;
  for (const JobId& id : open_) {
    Entry& entry = jobs_.at(id);
    const Queue* queue = routes_.Find(entry.job.queue);
    if (queue == nullptr) {
      continue;
    }
    const std::vector<int64_t> chains = ChainsFromMs(entry.job, durations_);
    const int64_t longest_ms = chains.empty() ? 0 : std::ranges::max(chains);
    for (uint32_t k = 0; k < entry.job.occurrences; ++k) {
      for (uint32_t s = 0; s < entry.job.steps.size(); ++s) {
        if (IsStepReady(entry, k, s, unix_ms)) {
          ready.push_back(
              {RankOf(entry.job, *queue, k, longest_ms, chains[s], unix_ms),
               &id, &entry, k, s, queue, chains[s]});
        }
      }
    }
  }
  std::ranges::sort(ready, {}, &ReadyStep::rank);
  return ready;
}

void Board::Advance(Instant now, int64_t unix_ms) {
  unix_ms_ = unix_ms;
  std::vector<RunnerLife> lapsed;
  for (const auto& [life, runner] : fleet_.runners()) {
    if (now > runner.alive_until &&
        (!runner.is_heard || now - runner.heard_at > kReportFreshness)) {
      lapsed.push_back(life);
    }
  }
  for (const RunnerLife& life : lapsed) {
    Lose(life, "Its lease has lapsed without word of its agent.", now);
  }
  RelocateFillers(now);
  waiting_tasks_ = 0;
  hopeless_.clear();
  for (const ReadyStep& ready : ReadySteps(unix_ms)) {
    if (ready.entry->job.steps[ready.step].is_gang) {
      PlaceGang(ready, now);
    } else {
      PlaceStep(ready, now);
    }
  }
}

void Board::Claim(const TaskKey& task,
                  uint32_t number,
                  const Step& step,
                  const Runner& place,
                  const ReadyStep& ready,
                  Instant now) {
  TaskProgress& progress = *TaskOf(task);
  progress.phase = TaskPhase::kClaimed;
  progress.run = number;
  progress.life = place.report.life;
  Run run = RunOf(step, number);
  run.claim_version = Change(task);
  run.send_due = now;
  run.checkpoint = progress.checkpoint;
  run.progressed_at = now;
  run.rest_ms = ready.rest_ms;
  run.target_ms = ready.rank.target_ms;
  run.useless_ms = ready.rank.useless_ms;
  Note(BoardNote::Kind::kRunClaimed, ToText(task), number,
       ToText(place.report.life),
       "Its report was " +
           std::to_string(
               std::chrono::floor<milliseconds>(now - place.heard_at).count()) +
           " ms old, under configuration " + std::to_string(routes_.version) +
           ".");
  Runner& runner = fleet_.Get(place.report.life);
  runner.runs[task] = std::move(run);
  runner.rooms.reset();
}

bool Board::IsHopeless(const ReadyStep& ready) const {
  const Step& step = ready.entry->job.steps[ready.step];
  return std::ranges::any_of(hopeless_, [&](const HopelessNeed& it) {
    return it.service == ready.queue->service && it.image == step.image &&
           it.required_label == step.required_label &&
           it.is_filler == step.is_filler && FitsIn(it.need, step.need);
  });
}

void Board::PlaceStep(const ReadyStep& ready, Instant now) {
  const Step& step = ready.entry->job.steps[ready.step];
  auto& tasks =
      ready.entry->progress.occurrences[ready.occurrence].steps[ready.step];
  const std::pair position(ready.occurrence, ready.step);
  const auto [since, is_new] =
      ready.entry->waiting_since.try_emplace(position, now);
  bool has_waited =
      step.is_filler && now - since->second >= settings_.longest_wait;
  bool has_room = has_waited || !IsHopeless(ready);
  for (uint32_t i = 0; i < tasks.size(); ++i) {
    if (tasks[i].phase != TaskPhase::kWaiting) {
      continue;
    }
    const TaskKey task{*ready.id, ready.occurrence, ready.step, i};
    const Runner* place = nullptr;
    if (has_room) {
      PlacementRequest request{task, &step, ready.queue->service, std::nullopt};
      request.has_waited = has_waited;
      if (const auto* failed = FindOrNull(ready.entry->failed_on, task)) {
        request.avoided = *failed;
      }
      place =
          ChooseRunner(fleet_, interference_, settings_.policy, request, now);
      has_room = place != nullptr;
      if (!has_room && !has_waited && step.most_per_runner == 0) {
        hopeless_.push_back({ready.queue->service, step.image,
                             step.required_label, step.is_filler, step.need});
      }
      has_waited = false;
    }
    if (place == nullptr) {
      ++waiting_tasks_;
      continue;
    }
    Claim(task, tasks[i].run + 1, step, *place, ready, now);
    since->second = now;
  }
}

bool Board::PlaceGang(const ReadyStep& ready, Instant now) {
  const Step& step = ready.entry->job.steps[ready.step];
  auto& tasks =
      ready.entry->progress.occurrences[ready.occurrence].steps[ready.step];
  uint32_t number = 0;
  std::string checkpoint;
  for (const TaskProgress& task : tasks) {
    number = std::max(number, task.run);
    checkpoint = std::max(checkpoint, task.checkpoint);
  }
  // Members are tried on a copy, as each takes room from the next.
  Fleet trial = fleet_;
  std::vector<RunnerLife> places;
  for (uint32_t i = 0; i < tasks.size(); ++i) {
    const TaskKey task{*ready.id, ready.occurrence, ready.step, i};
    const Runner* place =
        ChooseRunner(trial, interference_, settings_.policy,
                     {task, &step, ready.queue->service, std::nullopt}, now);
    if (place == nullptr) {
      waiting_tasks_ += tasks.size();
      return false;
    }
    places.push_back(place->report.life);
    trial.Get(places.back()).runs[task] = RunOf(step, number + 1);
  }
  for (uint32_t i = 0; i < tasks.size(); ++i) {
    tasks[i].checkpoint = checkpoint;
    Claim({*ready.id, ready.occurrence, ready.step, i}, number + 1, step,
          *fleet_.Find(places[i]), ready, now);
  }
  return true;
}

std::optional<Instant> Board::EndedAt(const JobId& id) const {
  const Entry* entry = FindOrNull(jobs_, id);
  return entry == nullptr || open_.contains(id)
             ? std::nullopt
             : std::optional<Instant>(entry->ended_at);
}

std::vector<JobId> Board::ExpiredJobs(Instant now, size_t most) const {
  std::vector<JobId> expired;
  for (const auto& [id, entry] : jobs_) {
    if (expired.size() < most && !open_.contains(id) &&
        !changed_outcomes_.contains(id) &&
        now - entry.ended_at > settings_.retention) {
      expired.push_back(id);
    }
  }
  return expired;
}

Board::Changes Board::TakeChanges() {
  Changes changes{version_, {}, {}};
  for (const JobId& id : changed_outcomes_) {
    if (const Entry* entry = FindOrNull(jobs_, id)) {
      changes.outcomes.emplace_back(id, entry->progress.outcome);
    }
  }
  for (const TaskKey& key : changed_tasks_) {
    const TaskProgress* task = TaskOf(key);
    // Of a job that has ended, only what may still be at work has to be known.
    const bool is_needed =
        task != nullptr &&
        (open_.contains(key.job) || task->phase == TaskPhase::kClaimed);
    changes.tasks.emplace_back(
        key, is_needed ? std::optional<TaskProgress>(*task) : std::nullopt);
  }
  changed_outcomes_.clear();
  changed_tasks_.clear();
  return changes;
}

}  // namespace papayadrift::jobs
