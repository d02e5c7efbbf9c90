#ifndef PAPAYADRIFT_JOBS_CRASH_HISTORY_H_
#define PAPAYADRIFT_JOBS_CRASH_HISTORY_H_

#include <set>
#include <vector>

#include "base/instant.h"
#include "jobs/job.h"

namespace papayadrift::jobs {

// The crashes of runners in the last minute, and which tasks may have caused
// them. While runners also crash without a cause among the tasks, a few crashes
// in a row may hit a sound task by chance.
class CrashHistory {
 public:
  // Tasks are named as by CrashRecordOf().
  void Add(std::set<TaskKey> suspects, Instant now);
  // The task has started without a crash, so it caused none of them.
  void Exonerate(const TaskKey& task);
  // Returns whether a recent crash was caused by no task.
  bool HasUnexplained(Instant now) const;

 private:
  struct Crash {
    Instant at;
    std::set<TaskKey> suspects;
  };

  std::vector<Crash> crashes_;  // Oldest first.
};

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_CRASH_HISTORY_H_
