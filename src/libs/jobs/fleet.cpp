#include "jobs/fleet.h"

#include <algorithm>
#include <ranges>

#include "base/lookup.h"

namespace papayadrift::jobs {
namespace {

// Lives without a time of birth can't be put in order: the last heard wins.
bool IsLater(const RunnerLife& left, const RunnerLife& right) {
  return left.node == right.node && left.born_ms > right.born_ms;
}

}  // namespace

Resources Runner::Used() const {
  Resources used;
  for (const Run& run : runs | std::views::values) {
    Resources need = run.need;
    if (run.is_filler) {
      need.millicores = 0;
    }
    used = used + need;
  }
  for (const StrayRun& stray : strays | std::views::values) {
    used = used + stray.need;
  }
  return used;
}

int64_t Runner::FillerMillicores() const {
  int64_t sum = 0;
  for (const Run& run : runs | std::views::values) {
    sum += run.is_filler ? run.need.millicores : 0;
  }
  return sum;
}

bool Runner::HasLabel(const std::string& label) const {
  return std::ranges::find(report.labels, label) != report.labels.end();
}

Runner* Fleet::Find(const RunnerLife& life) {
  return FindOrNull(runners_, life);
}

const Runner* Fleet::Find(const RunnerLife& life) const {
  return FindOrNull(runners_, life);
}

Runner& Fleet::Get(const RunnerLife& life) {
  return runners_[life];
}

std::vector<RunnerLife> Fleet::OlderLives(const RunnerLife& life) const {
  std::vector<RunnerLife> older;
  std::ranges::copy_if(runners_ | std::views::keys, std::back_inserter(older),
                       [&](const RunnerLife& other) {
                         return other.node == life.node && other != life;
                       });
  return older;
}

bool Fleet::IsOutlived(const RunnerLife& life) const {
  return std::ranges::any_of(
      runners_ | std::views::keys,
      [&](const RunnerLife& other) { return IsLater(other, life); });
}

}  // namespace papayadrift::jobs
