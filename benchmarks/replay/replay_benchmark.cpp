// The decision stream at the size of letter 1: 1,600 workers, 630 teams,
// 25,500 running tasks, 240 starts a second. Everything is taken to be in one
// region, which is worse than the five of the letter.

#include <malloc.h>

#include <cstdint>
#include <ctime>
#include <memory>
#include <string>
#include <vector>

#include "bounds.h"
#include "region_stream.h"

namespace papayadrift::replay {
namespace {

constexpr uint32_t kWorkers = 1'600;
constexpr uint32_t kTeams = 630;
constexpr uint32_t kRunningTasks = 25'500;
constexpr uint32_t kStartsPerSecond = 240;
constexpr uint32_t kAppendsPerSecond = 100;
constexpr uint32_t kSeconds = 30;
constexpr double kRegions = 5;

// A node may spend 1.1% of a core, 32 MB and 20 KB a second on control.
constexpr double kNodeBytesPerSecond = 20'000;
constexpr double kNodeBytes = 32'000'000;
constexpr double kCorePercent = 1.1;
constexpr double kSnapshotPeriodSeconds = 600;

double CpuSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

// The appends of kSeconds in order.
std::vector<std::string> Appends(RegionStream& stream) {
  std::vector<std::string> appends;
  uint32_t started = 0;
  for (uint32_t i = 1; i <= kSeconds * kAppendsPerSecond; ++i) {
    const uint32_t due = i * kStartsPerSecond / kAppendsPerSecond;
    appends.push_back(stream.Turn(due - started));
    started = due;
  }
  return appends;
}

void MeasureReplay(Bounds& bounds) {
  RegionStream stream;
  stream.Fill(kWorkers, kTeams, kRunningTasks);
  DecisionState state = stream.state();
  const std::vector<std::string> appends = Appends(stream);

  size_t bytes = 0;
  const double begin = CpuSeconds();
  for (const std::string& append : appends) {
    bytes += append.size();
    ApplyBytes(state, state.next_offset(), append);
  }
  const double spent = CpuSeconds() - begin;

  const double starts = kSeconds * kStartsPerSecond;
  bounds.AtMost("replay_bytes_per_start", static_cast<double>(bytes) / starts,
                "B", kNodeBytesPerSecond / (kStartsPerSecond / kRegions));
  bounds.AtLeast("replay_rate_to_arrival_rate", kSeconds / spent, "x", 10);
  bounds.AtMost("replay_core_percent", 100 * spent / kSeconds, "%",
                kCorePercent);
}

void MeasureState(Bounds& bounds) {
  RegionStream stream;
  stream.Fill(kWorkers, kTeams, kRunningTasks);
  while (stream.ended_jobs() <= JobTable::kMaximumEndedJobs) {
    stream.Turn(kStartsPerSecond);
  }
  const std::string bytes = stream.state().Snapshot();
  const auto restored = DecisionState::Restore(bytes);
  const size_t with_copy = mallinfo2().uordblks;
  const auto copy = std::make_unique<DecisionState>(*restored);
  const size_t copied = mallinfo2().uordblks - with_copy;

  bounds.AtMost("replay_state_bytes_per_running_task",
                static_cast<double>(copied) / kRunningTasks, "B",
                kNodeBytes / 2 / kRunningTasks);
  // A fifth of what a node may receive, spread over the snapshot period.
  bounds.AtMost(
      "replay_snapshot_bytes_per_running_task",
      static_cast<double>(bytes.size()) / kRunningTasks, "B",
      kNodeBytesPerSecond / 5 * kSnapshotPeriodSeconds / kRunningTasks);
  bounds.Show("replay_state_total", static_cast<double>(copied), "B");

  const double begin = CpuSeconds();
  const uint64_t digest = stream.state().StateDigest();
  const double spent = CpuSeconds() - begin;
  bounds.AtLeast("replay_restored_digest_equal",
                 restored->StateDigest() == digest ? 1 : 0, "bool", 1);
  bounds.AtMost("replay_snapshot_core_percent",
                100 * spent / kSnapshotPeriodSeconds, "%", kCorePercent / 10);
}

}  // namespace
}  // namespace papayadrift::replay

int main() {
  papayadrift::Bounds bounds;
  papayadrift::replay::MeasureReplay(bounds);
  papayadrift::replay::MeasureState(bounds);
  return bounds.has_failed() ? 1 : 0;
}
