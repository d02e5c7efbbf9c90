#include "jobs/crash_history.h"

#include <algorithm>
#include <utility>

namespace papayadrift::jobs {
namespace {

constexpr seconds kMemory(60);

}  // namespace

void CrashHistory::Add(std::set<TaskKey> suspects, Instant now) {
  std::erase_if(crashes_,
                [&](const Crash& it) { return now - it.at > kMemory; });
  crashes_.push_back({now, std::move(suspects)});
}

void CrashHistory::Exonerate(const TaskKey& task) {
  for (Crash& crash : crashes_) {
    crash.suspects.erase(task);
  }
}

bool CrashHistory::HasUnexplained(Instant now) const {
  return std::ranges::any_of(crashes_, [&](const Crash& it) {
    return it.suspects.empty() && now - it.at <= kMemory;
  });
}

}  // namespace papayadrift::jobs
