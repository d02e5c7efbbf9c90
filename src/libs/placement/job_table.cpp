#include <cassert>

#include "base/hash.h"
#include "placement/job_table_p.h"

namespace papayadrift::placement {

namespace {

// About one week of jobs at 8,700 per day.
constexpr size_t kMaximumEndedJobs = 65'536;
constexpr int kIndexBits = 32;

}  // namespace

JobState* JobTable::Add(const JobId& id) {
  if (ended_.contains(StableHash(id.text()))) {
    return nullptr;
  }
  auto [it, is_new] = jobs_.try_emplace(id);
  if (!is_new) {
    return nullptr;
  }
  it->second = std::make_unique<JobState>();
  it->second->id = id;
  it->second->sequence = next_sequence_++;
  return it->second.get();
}

void JobTable::MarkEnded(const JobId& id) {
  const uint64_t hash = StableHash(id.text());
  if (!ended_.insert(hash).second) {
    return;
  }
  ended_in_order_.push_back(hash);
  if (ended_in_order_.size() > kMaximumEndedJobs) {
    ended_.erase(ended_in_order_.front());
    ended_in_order_.pop_front();
  }
}

TaskState& JobTable::GetOrAddTask(JobState& job, uint32_t index) {
  auto [it, is_new] = tasks_.try_emplace(KeyOf(job, index));
  TaskState& task = it->second;
  if (is_new) {
    task.job = &job;
    task.index = index;
    ++live_[job.sequence];
  }
  job.was_claimed[index] = true;
  while (job.next_unclaimed < job.was_claimed.size() &&
         job.was_claimed[job.next_unclaimed]) {
    ++job.next_unclaimed;
  }
  return task;
}

TaskState& JobTable::TakePending(JobState& job) {
  assert(job.has_pending());
  if (job.retry_indexes.empty()) {
    return GetOrAddTask(job, job.next_unclaimed);
  }
  const uint32_t index = *job.retry_indexes.begin();
  job.retry_indexes.erase(job.retry_indexes.begin());
  return GetOrAddTask(job, index);
}

void JobTable::ReturnToPending(TaskState& task) {
  task.phase = TaskPhase::kPending;
  task.job->retry_indexes.insert(task.index);
}

void JobTable::Finish(TaskState& task) {
  JobState& job = *task.job;
  job.retry_indexes.erase(task.index);
  --job.unfinished;
  --live_[job.sequence];
  tasks_.erase(KeyOf(job, task.index));
}

void JobTable::RemoveIfDone(JobState& job) {
  const auto live = live_.find(job.sequence);
  const bool has_live = live != live_.end() && live->second > 0;
  if (has_live || (job.unfinished > 0 && !job.is_closed)) {
    return;
  }
  if (live != live_.end()) {
    live_.erase(live);
  }
  MarkEnded(job.id);
  jobs_.erase(JobId(job.id));
}

JobState* JobTable::Find(const JobId& id) {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second.get();
}

const JobState* JobTable::Find(const JobId& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second.get();
}

TaskState* JobTable::Find(const TaskId& id) {
  JobState* job = Find(id.job);
  if (job == nullptr) {
    return nullptr;
  }
  const auto it = tasks_.find(KeyOf(*job, id.index));
  return it == tasks_.end() ? nullptr : &it->second;
}

const TaskState* JobTable::Find(const TaskId& id) const {
  const JobState* job = Find(id.job);
  if (job == nullptr) {
    return nullptr;
  }
  const auto it = tasks_.find(KeyOf(*job, id.index));
  return it == tasks_.end() ? nullptr : &it->second;
}

uint64_t JobTable::KeyOf(const JobState& job, uint32_t index) {
  return (job.sequence << kIndexBits) | index;
}

}  // namespace papayadrift::placement
