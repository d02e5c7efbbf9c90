#ifndef PAPAYADRIFT_JOBS_RUN_TABLE_H_
#define PAPAYADRIFT_JOBS_RUN_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/resources.h"
#include "jobs/job.h"
#include "jobs/run.h"

namespace papayadrift::jobs {

// Sums over the runs of one runner.
struct RunTotals {
  Resources used;  // Fillers use no processors in this sense.
  int64_t filler_millicores = 0;
  int64_t serving_millicores = 0;
  int64_t other_millicores = 0;
  bool has_isolated = false;

  friend bool operator==(const RunTotals&, const RunTotals&) = default;
};

// The runs of one runner, by task. Their sums are kept until a run is added or
// removed: placement asks for them for each task and runner. What a run needs
// and its kind must not change while it is in the table.
class RunTable {
 public:
  using Runs = std::map<TaskKey, Run>;
  using key_type = Runs::key_type;
  using mapped_type = Runs::mapped_type;

  Runs::iterator begin() { return runs_.begin(); }
  Runs::iterator end() { return runs_.end(); }
  Runs::const_iterator begin() const { return runs_.begin(); }
  Runs::const_iterator end() const { return runs_.end(); }
  size_t size() const { return runs_.size(); }
  bool empty() const { return runs_.empty(); }

  Runs::iterator find(const TaskKey& task) { return runs_.find(task); }
  Runs::const_iterator find(const TaskKey& task) const {
    return runs_.find(task);
  }
  // The first run whose task is not before `task`.
  Runs::iterator lower_bound(const TaskKey& task) {
    return runs_.lower_bound(task);
  }
  Run& at(const TaskKey& task) { return runs_.at(task); }
  const Run& at(const TaskKey& task) const { return runs_.at(task); }
  Run& operator[](const TaskKey& task);
  void erase(const TaskKey& task);

  // To be called when a run is withdrawn or no longer accepted.
  void MarkUnsettled(const TaskKey& task) { unsettled_.insert(task); }
  // Returns the runs that are withdrawn or not accepted, by task: only for
  // these may an order to start or stop be due.
  std::vector<Runs::iterator> Unsettled();

  const RunTotals& totals() const;
  // Returns the number of tasks that belong to the same step as `task`.
  uint32_t CountOfStep(const TaskKey& task) const;
  // Runs looked at so far for the above.
  uint64_t examined() const { return examined_; }

 private:
  Runs runs_;
  mutable std::optional<RunTotals> totals_;
  mutable uint64_t examined_ = 0;
  std::set<TaskKey> unsettled_;  // And others that have become settled.
};

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_RUN_TABLE_H_
