#ifndef PAPAYADRIFT_PLACEMENT_JOB_TABLE_P_H_
#define PAPAYADRIFT_PLACEMENT_JOB_TABLE_P_H_

#include <deque>
#include <memory>
#include <unordered_map>
#include <unordered_set>

#include "placement/task_state_p.h"

namespace papayadrift::placement {

// All jobs with unfinished work and their tasks that were ever claimed.
// Remembers ended jobs, so that late events do not recreate them.
class JobTable {
 public:
  // Adds a job; returns null if it is known or has ended.
  JobState* Add(const JobId& id);
  // Records that a job has ended, also one that was never added.
  void MarkEnded(const JobId& id);
  // Returns the state of a task, adding it if it was never claimed.
  TaskState& GetOrAddTask(JobState& job, uint32_t index);
  // Removes and returns the task to claim next: one to be retried, otherwise
  // one never claimed. The job must have a pending task.
  TaskState& TakePending(JobState& job);
  // Marks a task without an attempt as pending.
  void ReturnToPending(TaskState& task);
  // Removes a task that needs no further attempt.
  void Finish(TaskState& task);
  // Removes the job if it is finished or closed and has no tracked tasks left.
  void RemoveIfDone(JobState& job);

  JobState* Find(const JobId& id);
  const JobState* Find(const JobId& id) const;
  TaskState* Find(const TaskId& id);
  const TaskState* Find(const TaskId& id) const;
  const std::unordered_map<JobId, std::unique_ptr<JobState>>& jobs() const {
    return jobs_;
  }
  size_t tasks() const { return tasks_.size(); }

 private:
  static uint64_t KeyOf(const JobState& job, uint32_t index);

  uint64_t next_sequence_ = 1;
  std::unordered_map<JobId, std::unique_ptr<JobState>> jobs_;
  std::unordered_map<uint64_t, TaskState> tasks_;
  std::unordered_map<uint64_t, uint32_t> live_;  // Task states by job.
  std::unordered_set<uint64_t> ended_;           // Hashes of identities.
  std::deque<uint64_t> ended_in_order_;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_JOB_TABLE_P_H_
