// The part of JobScheduler that empties availability zones which operators
// evacuate: nothing starts there, and work that would never end there moves.

#include <algorithm>
#include <ranges>

#include "base/lookup.h"
#include "jobs/job_scheduler.h"
#include "jobs/runner_choice.h"

namespace papayadrift::jobs {

void JobScheduler::SetEvacuatedZones(const std::set<std::string>& zones,
                                     Instant now) {
  const ZoneEvacuations::Changes changes = evacuations_.Update(zones, now);
  if (changes.is_empty()) {
    return;
  }
  for (const std::string& zone : changes.begun) {
    Emit(JobSchedulerEvent::Kind::kZoneEvacuated, zone);
  }
  for (const std::string& zone : changes.ended) {
    Emit(JobSchedulerEvent::Kind::kZoneReopened, zone);
  }
  for (Runner& runner : fleet_.runners() | std::views::values) {
    runner.is_evacuated = evacuations_.Contains(runner.report.zone);
    fleet_.MarkChanged(runner);
  }
}

void JobScheduler::OnZonesViewed(Instant viewed_at) {
  zones_viewed_at_ = std::max(zones_viewed_at_, viewed_at);
}

size_t JobScheduler::CountRunsInEvacuatedZones() const {
  size_t count = 0;
  for (const Runner& runner : fleet_.runners() | std::views::values) {
    count += runner.is_evacuated ? runner.runs.size() : 0;
  }
  return count;
}

bool JobScheduler::HasRunnerElsewhere(const Runner& runner,
                                      const TaskKey& task,
                                      Instant now) const {
  const Entry& entry = jobs_.at(task.job);
  const Queue* queue = FindQueue(entry.job.queue);
  return queue != nullptr &&
         ChooseRunner(fleet_, interference_, settings_.policy,
                      {task, &entry.job.steps[task.step], queue->service,
                       runner.report.incarnation},
                      now) != nullptr;
}

void JobScheduler::MoveFromEvacuatedZones(Instant now) {
  if (evacuations_.size() == 0 ||
      now - evacuated_at_ < settings_.evacuation_move_period) {
    return;
  }
  evacuated_at_ = now;
  for (Runner& runner : fleet_.runners() | std::views::values) {
    if (!runner.is_evacuated ||
        !evacuations_.ContainsSince(runner.report.zone,
                                    now - settings_.short_evacuation)) {
      continue;
    }
    for (auto& [task, run] : runner.runs) {
      if (run.is_long_running && !run.is_gang && run.is_accepted &&
          !run.is_withdrawn && open_.contains(task.job) &&
          IsWholeStepServing(task, now) &&
          HasRunnerElsewhere(runner, task, now)) {
        Withdraw(runner, task, run, "Its availability zone is evacuated.", now);
        // One at a time, as each reduces the capacity left for the next.
        return;
      }
    }
  }
}

}  // namespace papayadrift::jobs
