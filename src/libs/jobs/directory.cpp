#include "jobs/directory.h"

#include <algorithm>
#include <ranges>

#include "base/lookup.h"

namespace papayadrift::jobs {

void Directory::OnJob(const JobId& id, const Job& job) {
  jobs_[id].queue = job.queue;
}

void Directory::OnCancelled(const JobId& id) {
  jobs_[id].is_cancelled = true;
}

void Directory::OnStarted(const JobId& id) {
  jobs_[id].has_started = true;
}

void Directory::OnOutcome(const JobId& id, const StoredOutcome& stored) {
  Entry& entry = jobs_[id];
  entry.outcome = stored.outcome;
  // The records of tasks that were started may have been deleted.
  entry.has_started = entry.has_started || stored.first_occurrence > 0;
}

JobState Directory::StateOf(const Entry& entry) {
  switch (entry.outcome) {
    case JobOutcome::kCompleted:
      return JobState::kCompleted;
    case JobOutcome::kFailed:
      return JobState::kFailed;
    case JobOutcome::kCancelled:
      return JobState::kCancelled;
    case JobOutcome::kOpen:
      break;
  }
  if (entry.is_cancelled) {
    return JobState::kCancelled;
  }
  return entry.has_started ? JobState::kRunning : JobState::kQueued;
}

std::optional<JobState> Directory::StateOf(const std::string& queue,
                                           const JobId& id) const {
  const Entry* entry = FindOrNull(jobs_, id);
  if (entry == nullptr || entry->queue != queue) {
    return std::nullopt;
  }
  return StateOf(*entry);
}

size_t Directory::CountQueued(std::string_view queue) const {
  return static_cast<size_t>(
      std::ranges::count_if(jobs_ | std::views::values, [&](const Entry& it) {
        return it.queue == queue && StateOf(it) == JobState::kQueued;
      }));
}

}  // namespace papayadrift::jobs
