#ifndef PAPAYADRIFT_JOBS_DIRECTORY_H_
#define PAPAYADRIFT_JOBS_DIRECTORY_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "jobs/job.h"

namespace papayadrift::jobs {

enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };

// Job states for status queries, kept up to date from the stored records in
// every process that answers queries.
class Directory {
 public:
  void OnJob(const JobId& id, const Job& job);
  void OnCancelled(const JobId& id);
  // A run of one of its tasks has been started. A claim alone doesn't count:
  // its start may still be refused.
  void OnStarted(const JobId& id);
  void OnOutcome(const JobId& id, const StoredOutcome& stored);
  void Forget(const JobId& id) { jobs_.erase(id); }

  // Returns std::nullopt if no such job was accepted for that queue.
  std::optional<JobState> StateOf(const std::string& queue,
                                  const JobId& id) const;
  // Returns how many accepted jobs of the queue have not started.
  size_t CountQueued(std::string_view queue) const;
  size_t size() const { return jobs_.size(); }

 private:
  struct Entry {
    std::string queue;  // Empty until the job record was read.
    JobOutcome outcome = JobOutcome::kOpen;
    bool has_started = false;
    bool is_cancelled = false;
  };

  static JobState StateOf(const Entry& entry);

  std::unordered_map<JobId, Entry> jobs_;
};

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_DIRECTORY_H_
