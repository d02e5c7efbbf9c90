// Cost of decisions as the fleet grows: counted work, memory, and the processor
// time of one core at the peak rate of starts.

#include <fmt/core.h>
#include <malloc.h>

#include <algorithm>
#include <ctime>
#include <vector>

#include "bounds.h"
#include "large_fleet.h"

namespace papayadrift::placement {

namespace {

constexpr uint64_t kSeed = 77;
constexpr int kWarmUpSteps = 600;      // 60 s, to learn the services.
constexpr int kChurnSteps = 200;       // 20 s.
constexpr size_t kStartsPerStep = 24;  // 240 a second.
constexpr size_t kLargest = 1'600;
constexpr double kStepsPerSecond = 10;
constexpr double kUrgentSeconds = 1.1;

// Work per decision, in workers, jobs and victims examined.
double WorkPerClaim(const Counters& before, const Counters& after) {
  const uint64_t work = after.workers_examined - before.workers_examined +
                        after.jobs_examined - before.jobs_examined +
                        after.victims_examined - before.victims_examined;
  return static_cast<double>(work) / static_cast<double>(std::max<uint64_t>(
                                         1, after.claims - before.claims));
}

double Allocated() {
  return static_cast<double>(mallinfo2().uordblks);
}

double ProcessorSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double CheckWork(Bounds& bounds, size_t workers) {
  LargeFleet fleet(workers, kSeed);
  fleet.Fill();
  const size_t ends = std::max<size_t>(1, kStartsPerStep * workers / kLargest);
  fleet.Churn(kWarmUpSteps, ends);
  const Counters before = fleet.scheduler().counters();
  fleet.Churn(kChurnSteps, ends);
  const Counters& after = fleet.scheduler().counters();
  fmt::print("# claims {} tries {} workers {} jobs {} victims {} lowered {}\n",
             after.claims - before.claims, after.tries - before.tries,
             after.workers_examined - before.workers_examined,
             after.jobs_examined - before.jobs_examined,
             after.victims_examined - before.victims_examined,
             after.grants_lowered);
  const double work = WorkPerClaim(before, fleet.scheduler().counters());
  // A decision examines at most twice the configured number of workers.
  const auto most = 2.0 * static_cast<double>(Settings().workers_examined);
  bounds.AtMost(fmt::format("placement.cost.{}_workers.work", workers), work,
                "looked_at_per_claim", most);
  return work;
}

void CheckPeak(Bounds& bounds) {
  LargeFleet fleet(kLargest, kSeed);
  fleet.Fill();
  const double started = ProcessorSeconds();
  fleet.Churn(kChurnSteps, kStartsPerStep);
  const double spent = ProcessorSeconds() - started;
  bounds.AtMost("placement.cost.peak.processor_part",
                spent / (kChurnSteps / kStepsPerSecond), "of_a_core", 0.1);
  // Budget of control processes on a node: 32 MB.
  constexpr double kMegabyte = 1e6;
  constexpr double kMaximumMegabytes = 32;
  const double with_scheduler = Allocated();
  fleet.DropScheduler();
  const double bytes = with_scheduler - Allocated();
  fmt::print("# {} workers, {} batch tasks\n", kLargest, fleet.running());
  bounds.AtMost("placement.cost.peak.memory", bytes / kMegabyte, "MB",
                kMaximumMegabytes);
}

void PrintSlopes() {
  const auto bytes_of = [](size_t workers, bool has_tasks) {
    LargeFleet fleet(workers, kSeed);
    if (has_tasks) {
      fleet.Fill();
    }
    const double before = Allocated();
    fleet.DropScheduler();
    return before - Allocated();
  };
  const double worker = (bytes_of(800, false) - bytes_of(400, false)) / 400;
  const double filled = (bytes_of(800, true) - bytes_of(400, true)) / 400;
  constexpr double kTasksPerWorker = 11;
  fmt::print("# bytes per worker {:.0f}, per task {:.0f}\n", worker,
             (filled - worker) / kTasksPerWorker);
}

void CheckUrgent(Bounds& bounds) {
  constexpr size_t kWorkers = 110;
  LargeFleet fleet(kWorkers, kSeed);
  fleet.Fill();
  fleet.Saturate();
  std::vector<double> waits = fleet.Urgent(kChurnSteps);
  std::ranges::sort(waits);
  fmt::print("# {} urgent tasks at full load, median wait {:.1f} s\n",
             waits.size(), waits[waits.size() / 2]);
  bounds.AtMost("placement.urgent.full_load.longest_wait", waits.back(), "s",
                kUrgentSeconds);
}

}  // namespace

}  // namespace papayadrift::placement

int main() {
  papayadrift::Bounds bounds;
  const double small = papayadrift::placement::CheckWork(bounds, 110);
  const double large = papayadrift::placement::CheckWork(bounds, 1'600);
  papayadrift::placement::CheckWork(bounds, 11);
  // With 14.5 times the workers, linear growth would be 14.5; bounded work must
  // stay far below.
  bounds.AtMost("placement.cost.growth_110_to_1600", large / small, "times",
                1'600.0 / 110.0);
  papayadrift::placement::CheckPeak(bounds);
  papayadrift::placement::PrintSlopes();
  papayadrift::placement::CheckUrgent(bounds);
  return bounds.has_failed() ? 1 : 0;
}
