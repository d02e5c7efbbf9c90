#include "jobs/run_table.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace papayadrift::jobs {

Run& RunTable::operator[](const TaskKey& task) {
  totals_.reset();
  unsettled_.insert(task);
  return runs_[task];
}

void RunTable::erase(const TaskKey& task) {
  totals_.reset();
  unsettled_.erase(task);
  runs_.erase(task);
}

std::vector<RunTable::Runs::iterator> RunTable::Unsettled() {
  std::erase_if(unsettled_, [&](const TaskKey& task) {
    const Run& run = runs_.at(task);
    return run.is_accepted && !run.is_withdrawn;
  });
  std::vector<Runs::iterator> unsettled;
  std::ranges::transform(unsettled_, std::back_inserter(unsettled),
                         [&](const TaskKey& task) { return runs_.find(task); });
  return unsettled;
}

const RunTotals& RunTable::totals() const {
  if (totals_) {
    return *totals_;
  }
  examined_ += runs_.size();
  RunTotals totals;
  for (const Run& run : runs_ | std::views::values) {
    Resources need = run.need;
    if (run.is_filler) {
      need.millicores = 0;
      totals.filler_millicores += run.need.millicores;
    } else if (run.is_serving) {
      totals.serving_millicores += run.need.millicores;
    } else {
      totals.other_millicores += run.need.millicores;
    }
    totals.used = totals.used + need;
    totals.has_isolated = totals.has_isolated || run.is_isolated;
  }
  totals_ = totals;
  return *totals_;
}

uint32_t RunTable::CountOfStep(const TaskKey& task) const {
  const TaskKey step = StepOf(task);
  uint32_t count = 0;
  for (auto it = runs_.lower_bound(step);
       it != runs_.end() && StepOf(it->first) == step; ++it) {
    ++count;
  }
  examined_ += count;
  return count;
}

}  // namespace papayadrift::jobs
