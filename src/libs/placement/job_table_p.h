#ifndef PAPAYADRIFT_PLACEMENT_JOB_TABLE_P_H_
#define PAPAYADRIFT_PLACEMENT_JOB_TABLE_P_H_

#include <deque>
#include <memory>
#include <unordered_map>
#include <unordered_set>

#include "placement/task_state_p.h"

namespace papayadrift::placement {

// All jobs with work left, and the tasks that were ever claimed. Remembers
// which jobs have ended, so that late events don't bring them back.
class JobTable {
 public:
  // Enters a job; returns nothing when it is known or has ended.
  JobState* Add(const JobId& id);
  // Notes that the job has ended although it was never entered.
  void MarkEnded(const JobId& id);
  // Returns the state of a task, entering it if it was never claimed.
  TaskState& GetOrAddTask(JobState& job, uint32_t index);
  // Chooses the task that is claimed next: one to be tried again, or a fresh
  // one. The job must have one pending.
  TaskState& TakePending(JobState& job);
  // The task has no attempt and waits for another one.
  void ReturnToPending(TaskState& task);
  // The task needs no further attempt.
  void Finish(TaskState& task);
  // Forgets the job when nothing of it is left.
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
