// What the work of a leader costs, by kind, under the loads of two deployments:
// processor time (without bounds, as machines differ) and counted work.

#include <fcntl.h>
#include <fmt/core.h>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <vector>

#include "bounds.h"
#include "leader_replay.h"

namespace papayadrift::cluster {
namespace {

using experiment::Workload;

constexpr uint64_t kSeed = 1;
constexpr milliseconds kLength(16000);

// 66 runners that serving tasks nearly fill, and a burst of batch work.
Workload BallastNorr() {
  Workload load;
  load.runners = 66;
  load.runners_per_rack = 6;
  load.capacity = {37'000, 148'000, 0};
  load.length = kLength;
  load.burst_factor = 2.6;
  load.burst_at = milliseconds(8000);
  load.burst_for = milliseconds(4000);
  load.services = {0.12, 22, 10, 1, 14, 28, 6400, 13'000, milliseconds(70'000)};
  load.batch = {3,
                230,
                18,
                2,
                20,
                80,
                3500,
                6400,
                milliseconds(2200),
                2,
                milliseconds(1000)};
  load.urgent = {18.4,
                 0,
                 1,
                 1.6,
                 9.5,
                 57,
                 760,
                 1500,
                 milliseconds(640),
                 1.5,
                 milliseconds(300)};
  load.sensitivity.load = 0.45;
  load.sensitivity.target_ms = 125;
  return load;
}

// 240 small runners.
Workload RblRecife() {
  Workload load;
  load.runners = 240;
  load.runners_per_rack = 12;
  load.capacity = {16'000, 62'000, 0};
  load.length = kLength;
  load.services = {0.27, 22, 10, 1, 22, 48, 3200, 6000, milliseconds(70'000)};
  load.batch = {3.9,
                0,
                18,
                2,
                36,
                160,
                1800,
                3000,
                milliseconds(2700),
                2,
                milliseconds(1000)};
  load.urgent = {24.3,
                 0,
                 1,
                 1.6,
                 13,
                 78,
                 690,
                 1000,
                 milliseconds(640),
                 1.5,
                 milliseconds(250)};
  return load;
}

void Show(Bounds& bounds, const std::string& name, const LeaderReplay& replay) {
  const auto seconds_played = std::chrono::duration<double>(kLength).count();
  const auto per_second = [&](std::chrono::nanoseconds time) {
    return std::chrono::duration<double, std::milli>(time).count() /
           seconds_played;
  };
  const LeaderCounts& counts = replay.counts();
  const auto rounds = static_cast<double>(counts.rounds);
  fmt::print(
      "# {} a second: {:.0f} rounds, {:.0f} reports, {:.0f} claims, "
      "{:.0f} orders, {:.0f} lines, {:.0f} records; {:.0f} jobs open, "
      "{:.0f} runs\n",
      name, rounds / seconds_played,
      static_cast<double>(counts.reports) / seconds_played,
      static_cast<double>(counts.claims) / seconds_played,
      static_cast<double>(counts.orders) / seconds_played,
      static_cast<double>(counts.lines) / seconds_played,
      static_cast<double>(counts.records) / seconds_played,
      static_cast<double>(counts.open_jobs) / rounds,
      static_cast<double>(counts.runs) / rounds);
  std::vector<CostKind> kinds;
  for (size_t i = 0; i < kCostKinds; ++i) {
    kinds.push_back(static_cast<CostKind>(i));
  }
  std::ranges::sort(kinds, std::ranges::greater(), [&](CostKind kind) {
    return replay.meter().time_of(kind);
  });
  for (const CostKind kind : kinds) {
    bounds.Show(fmt::format("leader.{}.{}", name, ToText(kind)),
                per_second(replay.meter().time_of(kind)), "ms_per_s");
  }
  bounds.Show(fmt::format("leader.{}.all", name),
              per_second(replay.meter().total()), "ms_per_s");
}

void Check(Bounds& bounds,
           const std::string& name,
           const Workload& workload,
           double min_claims_per_second) {
  const int descriptor = open("/dev/null", O_WRONLY | O_CLOEXEC);
  LeaderReplay replay(workload, kSeed, descriptor);
  replay.RunUntil(kLength);
  Show(bounds, name, replay);
  // Else the load is not the one that is meant.
  bounds.AtLeast(fmt::format("leader.{}.claims", name),
                 static_cast<double>(replay.counts().claims) /
                     std::chrono::duration<double>(kLength).count(),
                 "per_s", min_claims_per_second);
  close(descriptor);
}

}  // namespace
}  // namespace papayadrift::cluster

int main() {
  papayadrift::Bounds bounds;
  papayadrift::cluster::Check(bounds, "ballast",
                              papayadrift::cluster::BallastNorr(), 300);
  papayadrift::cluster::Check(bounds, "rbl", papayadrift::cluster::RblRecife(),
                              600);
  return bounds.has_failed() ? 1 : 0;
}
