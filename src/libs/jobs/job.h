#ifndef PAPAYADRIFT_JOBS_JOB_H_
#define PAPAYADRIFT_JOBS_JOB_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/identifiers.h"
#include "base/resources.h"

// Jobs of several steps: as submitted, and their progress.

namespace papayadrift::jobs {

// One task of a job: a step of one occurrence has several.
struct TaskKey {
  JobId job;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  uint32_t index = 0;

  friend auto operator<=>(const TaskKey&, const TaskKey&) = default;
};

// Returns "<job>.<occurrence>.<step>.<index>".
std::string ToText(const TaskKey& task);
// Returns std::nullopt if `text` is not such a name.
std::optional<TaskKey> TaskKeyFromText(const std::string& text);

// Returns the first task of the step of `task`, as a key for the step.
inline TaskKey StepOf(const TaskKey& task) {
  return {task.job, task.occurrence, task.step, 0};
}

// Returns the task with which crashes under `task` are recorded: a gang starts,
// runs and fails as a whole.
inline TaskKey CrashRecordOf(const TaskKey& task, bool is_gang) {
  return is_gang ? StepOf(task) : task;
}

// A step: `count` identical tasks.
struct Step {
  uint32_t count = 1;
  Resources need;  // Of one task.
  int64_t estimated_ms = 0;
  std::vector<uint32_t> depends_on;  // Earlier steps that must be done first.
  bool is_checkpointing = false;
  bool is_gang = false;  // Its tasks run all at the same time or not at all.
  bool is_long_running = false;
  bool is_filler = false;  // Uses only processor time that other tasks leave.
  std::string image;       // Tasks of one image behave alike.
  std::string required_label;
  std::string preferred_rack;
  uint32_t max_per_runner = 0;   // 0: no limit.
  uint32_t max_unavailable = 0;  // 0: no limit.
  int64_t tail_target_ms = 0;    // Of a step that serves users; 0: none.

  friend bool operator==(const Step&, const Step&) = default;
};

// A job as submitted; immutable.
struct Job {
  std::string queue;
  std::string payload;  // Passed to the runners with each task.
  std::vector<Step> steps;
  int64_t first_due_ms = 0;  // Unix time; 0: at once.
  int64_t interval_ms = 0;   // Between two occurrences.
  uint32_t occurrences = 1;
  int64_t accepted_ms = 0;  // Unix time.

  friend bool operator==(const Job&, const Job&) = default;
};

enum class JobOutcome { kOpen, kCompleted, kFailed, kCancelled };

// One incarnation of a runner, on the VM of one agent.
struct RunnerIncarnation {
  std::string node;
  std::string instance;
  int64_t start_unix_ms = 0;  // 0: not reported.

  friend auto operator<=>(const RunnerIncarnation&,
                          const RunnerIncarnation&) = default;
};

std::string ToText(const RunnerIncarnation& incarnation);

enum class TaskPhase { kWaiting, kClaimed, kDone };

struct TaskProgress {
  TaskPhase phase = TaskPhase::kWaiting;
  uint32_t run = 0;               // The last claimed run; 0: none yet.
  uint32_t failures = 0;          // Number of failed runs.
  RunnerIncarnation incarnation;  // The runner of the claimed run.
  std::string checkpoint;
  // Runners that crashed right after a run of the task had started there, in a
  // row; of a gang, kept with its first task.
  uint32_t crashes = 0;
  uint32_t lone_crashes = 0;  // Of these, those where nothing else had started.
  // The last run that `failures` counts. A failed run of a gang is counted
  // once, with the member that failed first.
  uint32_t failed_run = 0;
  // Whether a run of the task has been started, and not only claimed. Stored
  // with the next change of the task; see JobScheduler::StoreOverdueStarts().
  bool has_started = false;
  // The last run that `crashes` counts. Each leader is told of the same crash
  // while the runner's next process has to stop the run.
  uint32_t crashed_run = 0;

  static constexpr size_t kRequiredFields = 5;  // Before `crashes`.

  friend bool operator==(const TaskProgress&, const TaskProgress&) = default;
};

// Returns whether a run of the task is known to have been started. Earlier
// versions don't store that, so runs that have had an effect count as well.
bool HasStarted(const TaskProgress& task);

// The tasks of one occurrence, step by step.
struct OccurrenceProgress {
  std::vector<std::vector<TaskProgress>> steps;

  friend bool operator==(const OccurrenceProgress&,
                         const OccurrenceProgress&) = default;
};

// The progress of a job: of the occurrences that are kept. All tasks of those
// before them are done, and none of those after them has begun.
struct JobProgress {
  JobOutcome outcome = JobOutcome::kOpen;
  uint32_t first_occurrence = 0;  // The first one that is kept.
  std::vector<OccurrenceProgress> occurrences;

  friend bool operator==(const JobProgress&, const JobProgress&) = default;
};

// The stored outcome of a job, and how far it is.
struct StoredOutcome {
  JobOutcome outcome = JobOutcome::kOpen;
  uint32_t first_occurrence = 0;  // See JobProgress.

  static constexpr size_t kRequiredFields = 1;  // Before `first_occurrence`.

  friend bool operator==(const StoredOutcome&, const StoredOutcome&) = default;
};

// The stored progress of a job: each task that has changed is a record of its
// own.
struct StoredProgress {
  JobOutcome outcome = JobOutcome::kOpen;
  std::map<TaskKey, TaskProgress> tasks;
  uint32_t first_occurrence = 0;  // See JobProgress.

  friend bool operator==(const StoredProgress&,
                         const StoredProgress&) = default;
};

// Number of tasks up to which all occurrences of a job are kept until it ends.
inline constexpr uint64_t kMaxTasksKept = 65'536;

// Returns how many occurrences of the job are kept at once. A job with more
// tasks than `kMaxTasksKept` may repeat for ever: those that are done are
// dropped, and later ones begin once there is space.
uint32_t MaxOccurrencesKept(const Job& job);
// Returns the progress of a job that has not started.
JobProgress InitialProgress(const Job& job);
// Drops the occurrences before `first` and adds later ones in their place.
void DropOccurrences(const Job& job, uint32_t first, JobProgress& progress);
bool IsKept(const JobProgress& progress, uint32_t occurrence);
// Returns whether the job has occurrences after those that are kept.
bool HasMoreOccurrences(const Job& job, const JobProgress& progress);
// Returns the task, or null if it is not kept or the job has no such task.
TaskProgress* FindTask(JobProgress& progress, const TaskKey& task);
// Returns the tasks of the step of `task`, whose occurrence must be kept.
inline std::vector<TaskProgress>& TasksOfStep(JobProgress& progress,
                                              const TaskKey& task) {
  return progress.occurrences[task.occurrence - progress.first_occurrence]
      .steps[task.step];
}
inline const std::vector<TaskProgress>& TasksOfStep(const JobProgress& progress,
                                                    const TaskKey& task) {
  return progress.occurrences[task.occurrence - progress.first_occurrence]
      .steps[task.step];
}

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_JOB_H_
