#include "jobs/job.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

namespace papayadrift::jobs {
namespace {

// Removes the number after the last dot from `text` and returns it.
std::optional<uint32_t> RemoveLastNumber(std::string_view& text) {
  const size_t dot = text.rfind('.');
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = text.substr(dot + 1);
  uint32_t n = 0;
  const auto [end, ec] =
      std::from_chars(digits.data(), digits.data() + digits.size(), n);
  if (ec != std::errc() || digits.empty() ||
      end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  text = text.substr(0, dot);
  return n;
}

}  // namespace

std::string ToText(const TaskKey& task) {
  return task.job.text() + "." + std::to_string(task.occurrence) + "." +
         std::to_string(task.step) + "." + std::to_string(task.index);
}

std::optional<TaskKey> TaskKeyFromText(const std::string& text) {
  std::string_view rest = text;
  const auto index = RemoveLastNumber(rest);
  const auto step = RemoveLastNumber(rest);
  const auto occurrence = RemoveLastNumber(rest);
  if (!index || !step || !occurrence || rest.empty()) {
    return std::nullopt;
  }
  return TaskKey{JobId(std::string(rest)), *occurrence, *step, *index};
}

std::string ToText(const RunnerIncarnation& incarnation) {
  return incarnation.node + "/" + incarnation.instance + "/" +
         std::to_string(incarnation.start_unix_ms);
}

uint32_t MaxOccurrencesKept(const Job& job) {
  // Each round of decisions looks at all that are kept. Two occurrences may
  // overlap, however large they are.
  constexpr uint64_t kMaxTasksOfManyKept = 16'384;
  constexpr uint64_t kMinOccurrencesKept = 2;
  uint64_t tasks = 0;  // Of one occurrence.
  for (const Step& step : job.steps) {
    tasks += step.count;
  }
  if (tasks * job.occurrences <= kMaxTasksKept) {
    return job.occurrences;
  }
  return static_cast<uint32_t>(std::min<uint64_t>(
      std::max(kMinOccurrencesKept, kMaxTasksOfManyKept / tasks),
      job.occurrences));
}

JobProgress InitialProgress(const Job& job) {
  JobProgress progress;
  DropOccurrences(job, 0, progress);
  return progress;
}

void DropOccurrences(const Job& job, uint32_t first, JobProgress& progress) {
  const uint32_t dropped =
      std::min(first, job.occurrences) - progress.first_occurrence;
  auto& kept = progress.occurrences;
  kept.erase(kept.begin(),
             kept.begin() + std::min<ptrdiff_t>(dropped, std::ssize(kept)));
  progress.first_occurrence += dropped;
  OccurrenceProgress occurrence;
  std::ranges::transform(
      job.steps, std::back_inserter(occurrence.steps),
      [](const Step& step) { return std::vector<TaskProgress>(step.count); });
  kept.resize(std::min(MaxOccurrencesKept(job),
                       job.occurrences - progress.first_occurrence),
              occurrence);
}

bool HasStarted(const TaskProgress& task) {
  // Versions that store `crashed_run` suspect a task of a crash also if its
  // start was sent and may not have been executed.
  const bool has_crashed = task.crashes > 0 && task.crashed_run == 0;
  return task.has_started || task.phase == TaskPhase::kDone ||
         task.failures > 0 || has_crashed || !task.checkpoint.empty();
}

bool IsKept(const JobProgress& progress, uint32_t occurrence) {
  return occurrence >= progress.first_occurrence &&
         occurrence - progress.first_occurrence < progress.occurrences.size();
}

bool HasMoreOccurrences(const Job& job, const JobProgress& progress) {
  return progress.first_occurrence + progress.occurrences.size() <
         job.occurrences;
}

TaskProgress* FindTask(JobProgress& progress, const TaskKey& task) {
  if (!IsKept(progress, task.occurrence)) {
    return nullptr;
  }
  auto& steps =
      progress.occurrences[task.occurrence - progress.first_occurrence].steps;
  if (task.step >= steps.size() || task.index >= steps[task.step].size()) {
    return nullptr;
  }
  return &steps[task.step][task.index];
}

}  // namespace papayadrift::jobs
