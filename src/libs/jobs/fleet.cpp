#include "jobs/fleet.h"

#include <algorithm>
#include <limits>
#include <ranges>

#include "base/lookup.h"

namespace papayadrift::jobs {
namespace {

// Whether `other`, of the same node, is a later incarnation than that of
// `report`. An agent knows which one is present, and its reports are in the
// order of its clock. The start times are by the VM's time of day, which may be
// set back; without them, the last one to report wins.
bool IsLater(const RunnerIncarnation& other,
             const Runner& runner,
             const RunnerReport& report) {
  if (runner.former_agents.contains(report.agent_start_unix_ms)) {
    return true;
  }
  const bool is_of_same_agent =
      runner.has_report &&
      runner.report.agent_start_unix_ms == report.agent_start_unix_ms;
  return is_of_same_agent && runner.report.sent_at_ms != report.sent_at_ms
             ? runner.report.sent_at_ms > report.sent_at_ms
             : other.start_unix_ms > report.incarnation.start_unix_ms;
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

bool Fleet::IsSuperseded(const RunnerReport& report) const {
  return std::ranges::any_of(OtherIncarnations(report.incarnation),
                             [&](const RunnerIncarnation& other) {
                               return IsLater(other, *Find(other), report);
                             });
}

}  // namespace papayadrift::jobs
