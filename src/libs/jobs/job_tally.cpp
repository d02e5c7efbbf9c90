#include "jobs/job_tally.h"

#include <algorithm>
#include <iterator>

namespace papayadrift::jobs {
namespace {

StepTally TallyOfStep(const std::vector<TaskProgress>& tasks) {
  StepTally tally;
  for (const TaskProgress& task : tasks) {
    tally.open += task.phase != TaskPhase::kDone ? 1 : 0;
    if (task.phase == TaskPhase::kWaiting) {
      ++tally.waiting;
      tally.has_crashed = tally.has_crashed || task.crashes > 0;
    }
  }
  return tally;
}

OccurrenceTally TallyOfOccurrence(const Job& job,
                                  const OccurrenceProgress& progress) {
  OccurrenceTally tallies;
  std::ranges::transform(progress.steps, std::back_inserter(tallies),
                         TallyOfStep);
  for (size_t i = 0; i < tallies.size(); ++i) {
    const bool is_wanted = job.steps[i].is_gang
                               ? tallies[i].waiting == progress.steps[i].size()
                               : tallies[i].waiting > 0;
    tallies[i].may_start =
        is_wanted &&
        std::ranges::all_of(job.steps[i].depends_on, [&](uint32_t earlier) {
          return tallies[earlier].open == 0;
        });
  }
  return tallies;
}

}  // namespace

JobTally TallyOf(const Job& job, const JobProgress& progress) {
  JobTally tally;
  std::ranges::transform(progress.occurrences,
                         std::back_inserter(tally.occurrences),
                         [&](const OccurrenceProgress& occurrence) {
                           return TallyOfOccurrence(job, occurrence);
                         });
  tally.may_start = std::ranges::any_of(
      tally.occurrences, [](const OccurrenceTally& occurrence) {
        return std::ranges::any_of(occurrence, &StepTally::may_start);
      });
  return tally;
}

}  // namespace papayadrift::jobs
