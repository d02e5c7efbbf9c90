// The part of JobScheduler that ends jobs, and drops occurrences that are done.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <ranges>

#include "jobs/job_scheduler.h"

namespace papayadrift::jobs {
namespace {

// Visits the tasks of the first `count` occurrences that are kept.
template <typename Visit>
void ForEachTask(const JobProgress& progress,
                 const JobId& id,
                 size_t count,
                 const Visit& visit) {
  for (uint32_t k = 0; k < count; ++k) {
    const auto& steps = progress.occurrences[k].steps;
    for (uint32_t s = 0; s < steps.size(); ++s) {
      for (uint32_t i = 0; i < steps[s].size(); ++i) {
        visit(TaskKey{id, progress.first_occurrence + k, s, i}, steps[s][i]);
      }
    }
  }
}

bool IsDone(const OccurrenceProgress& occurrence) {
  return std::ranges::all_of(occurrence.steps, [](const auto& tasks) {
    return std::ranges::all_of(tasks, [](const TaskProgress& task) {
      return task.phase == TaskPhase::kDone;
    });
  });
}

}  // namespace

void JobScheduler::CheckCompletion(const JobId& id, Instant now) {
  Entry& entry = jobs_.at(id);
  DropDoneOccurrences(id, entry);
  if (HasMoreOccurrences(entry.job, entry.progress)) {
    return;
  }
  if (std::ranges::all_of(entry.progress.occurrences, IsDone)) {
    CloseJob(id, JobOutcome::kCompleted, now);
  }
}

void JobScheduler::DropDoneOccurrences(const JobId& id, Entry& entry) {
  // A part of those that are kept is dropped at once, as each time takes a
  // record.
  constexpr size_t kParts = 4;
  JobProgress& progress = entry.progress;
  const auto& kept = progress.occurrences;
  const size_t min_count = std::max<size_t>(1, kept.size() / kParts);
  if (!HasMoreOccurrences(entry.job, progress) ||
      !IsDone(kept[min_count - 1])) {
    return;
  }
  const auto done = static_cast<size_t>(std::ranges::find_if_not(kept, IsDone) -
                                        kept.begin());
  if (done < min_count) {
    return;
  }
  ForEachTask(progress, id, done, [this](const TaskKey& key, const auto&) {
    changed_tasks_.insert(key);
  });
  const auto first = progress.first_occurrence + static_cast<uint32_t>(done);
  DropOccurrences(entry.job, first, progress);
  entry.tally.reset();
  entry.is_start_stored = true;
  unstored_starts_.erase(id);
  const TaskKey first_task{id, first, 0, 0};
  std::erase_if(entry.waiting,
                [&](const auto& it) { return it.first.first < first; });
  std::erase_if(entry.failed_on,
                [&](const auto& it) { return it.first < first_task; });
  std::erase_if(entry.stalls,
                [&](const auto& it) { return it.first < first_task; });
  changed_outcomes_.insert(id);
  ++version_;
}

void JobScheduler::CloseJob(const JobId& id, JobOutcome outcome, Instant now) {
  Entry& entry = jobs_.at(id);
  entry.progress.outcome = outcome;
  entry.ended_at = now;
  open_.erase(id);
  unstored_starts_.erase(id);
  changed_outcomes_.insert(id);
  entry.ended_version = ++version_;
  ForEachTask(entry.progress, id, entry.progress.occurrences.size(),
              [this](const TaskKey& key, const auto& task) {
                if (task.run > 0) {
                  changed_tasks_.insert(key);
                }
              });
  Emit(JobSchedulerEvent::Kind::kJobEnded, id.text(), 0, {},
       outcome == JobOutcome::kCompleted   ? "completed"
       : outcome == JobOutcome::kCancelled ? "cancelled"
                                           : "failed");
  for (Runner& runner : fleet_.runners() | std::views::values) {
    for (auto it = runner.runs.lower_bound(TaskKey{id, 0, 0, 0});
         it != runner.runs.end() && it->first.job == id; ++it) {
      Withdraw(runner, it->first, it->second, "The job has ended.", now);
    }
    if (runner.reserved_for && runner.reserved_for->job == id) {
      runner.reserved_until = Instant();
      fleet_.MarkChanged(runner);
    }
    if (runner.capacity_reservation &&
        runner.capacity_reservation->step.job == id) {
      EndReservation(runner, &ReservationCounts::released,
                     "The job has ended.");
    }
  }
}

}  // namespace papayadrift::jobs
