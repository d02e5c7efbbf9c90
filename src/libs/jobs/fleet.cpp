#include "jobs/fleet.h"

#include <algorithm>
#include <limits>
#include <ranges>

#include "base/lookup.h"

namespace papayadrift::jobs {
namespace {

// For incarnations of one node. Those without a start time can't be ordered:
// the last one to report wins.
bool IsLater(const RunnerIncarnation& left, const RunnerIncarnation& right) {
  return left.start_unix_ms > right.start_unix_ms;
}

}  // namespace

Resources Runner::Used() const {
  Resources used = runs.totals().used;
  for (const OrphanRun& orphan : orphans | std::views::values) {
    used = used + orphan.need;
  }
  return used;
}

bool Runner::HasLabel(const std::string& label) const {
  return std::ranges::find(report.labels, label) != report.labels.end();
}

bool Runner::IsIsolating(Instant now) const {
  if (now < reserved_until) {
    return true;
  }
  return runs.totals().has_isolated &&
         std::ranges::any_of(runs | std::views::values, [&](const Run& run) {
           return run.is_isolated && !run.IsSettled(now);
         });
}

Runner* Fleet::Find(const RunnerIncarnation& incarnation) {
  return FindOrNull(runners_, incarnation);
}

const Runner* Fleet::Find(const RunnerIncarnation& incarnation) const {
  return FindOrNull(runners_, incarnation);
}

Runner& Fleet::Get(const RunnerIncarnation& incarnation) {
  return runners_[incarnation];
}

void Fleet::Remove(const RunnerIncarnation& incarnation) {
  if (const Runner* runner = Find(incarnation)) {
    work_of_removed_.runners += runner->considerations;
    work_of_removed_.runs += runner->runs.examined();
    runners_.erase(incarnation);
  }
}

void Fleet::MarkChanged(Runner& runner) {
  runner.changed_at = ++changes_;
  runner.headrooms.reset();
}

PlacementWork Fleet::work() const {
  PlacementWork sum = work_of_removed_;
  for (const Runner& runner : runners_ | std::views::values) {
    sum.runners += runner.considerations;
    sum.runs += runner.runs.examined();
  }
  return sum;
}

std::vector<RunnerIncarnation> Fleet::IncarnationsOf(
    const std::string& node) const {
  std::vector<RunnerIncarnation> all;
  const RunnerIncarnation first{node, {}, std::numeric_limits<int64_t>::min()};
  for (auto it = runners_.lower_bound(first);
       it != runners_.end() && it->first.node == node; ++it) {
    all.push_back(it->first);
  }
  return all;
}

std::vector<RunnerIncarnation> Fleet::OtherIncarnations(
    const RunnerIncarnation& incarnation) const {
  std::vector<RunnerIncarnation> others = IncarnationsOf(incarnation.node);
  std::erase(others, incarnation);
  return others;
}

bool Fleet::IsSuperseded(const RunnerIncarnation& incarnation) const {
  return std::ranges::any_of(IncarnationsOf(incarnation.node),
                             [&](const RunnerIncarnation& other) {
                               return IsLater(other, incarnation);
                             });
}

}  // namespace papayadrift::jobs
