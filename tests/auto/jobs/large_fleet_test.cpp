#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <ranges>
#include <string>
#include <variant>

#include "jobs/job_scheduler.h"

namespace papayadrift::jobs {
namespace {

constexpr int64_t kRunnerMillicores = 16000;
constexpr Resources kSmallNeed{1000, 100, 0};
// Rounds of decisions between which other events are handled: a leader on a
// VM with an eighth of a core must append to the store every 1.3 s.
constexpr size_t kMaxClaimsOfOneRound = 128;

// A leader's scheduler with many runners, each of which has some runs.
class LargeFleet {
 public:
  explicit LargeFleet(uint32_t runners)
      : runners_(runners), scheduler_(JobSchedulerSettings(), now_, nullptr) {
    RouteTable routes;
    routes.version = 1;
    Queue queue;
    queue.name = "q";
    queue.service = "s";
    queue.max_failures = 2;
    routes.queues = {queue};
    routes.services = {Service{"s", false, false}};
    scheduler_.SetRoutes(routes);
    for (uint32_t i = 0; i < runners; ++i) {
      Report(i);
    }
  }

  PlacementWork work() const { return scheduler_.fleet().work(); }

  void Report(uint32_t index) {
    RunnerReport report;
    report.incarnation = {"node-" + std::to_string(index), "i", 1};
    report.service = "s";
    report.capacity = {kRunnerMillicores, kRunnerMillicores, 0};
    report.sent_at_ms = 1;
    scheduler_.OnReport(report, now_);
  }

  void Submit(const std::string& id, uint32_t tasks) {
    Job job;
    job.queue = "q";
    job.steps.resize(1);
    job.steps[0].count = tasks;
    job.steps[0].need = kSmallNeed;
    scheduler_.AddJob(JobId(id), job);
  }

  // Returns the number of starts after one round of decisions.
  size_t Step() {
    scheduler_.Advance(now_, 1);
    scheduler_.OnStored(scheduler_.TakeChanges().version);
    size_t starts = 0;
    for (const auto& batch : scheduler_.TakeOrders(now_) | std::views::values) {
      starts += static_cast<size_t>(
          std::ranges::count_if(batch, [](const Order& order) {
            return std::holds_alternative<StartOrder>(order);
          }));
    }
    return starts;
  }

  // Returns the number of runs that were looked at for each start of `tasks`,
  // on a fleet whose runners have eight runs each.
  double ExaminedRunsPerStart(uint32_t tasks) {
    constexpr uint32_t kRunsOfRunner = 8;
    Submit("a", runners_ * kRunsOfRunner);
    while (Step() > 0) {
    }
    const uint64_t before = work().runs;
    Submit("b", tasks);
    size_t starts = 0;
    while (const size_t n = Step()) {
      starts += n;
    }
    EXPECT_EQ(starts, tasks);
    return static_cast<double>(work().runs - before) /
           static_cast<double>(starts);
  }

 private:
  const uint32_t runners_;
  Instant now_ = Instant(seconds(1));
  JobScheduler scheduler_;
};

// Guards against short tasks that start late on a large deployment since the
// leader looks at all runs of all runners for each start.
TEST(LargeFleetTest, AStartCostsLittleMoreOnALargeFleet) {
  const double small = LargeFleet(30).ExaminedRunsPerStart(100);
  const double large = LargeFleet(240).ExaminedRunsPerStart(100);
  EXPECT_LE(large / small, std::log(240) / std::log(30));
}

// Guards against a burst of work for which a leader places hundreds of tasks
// before it handles a cancelling, a report or its next append.
TEST(LargeFleetTest, ABurstIsPlacedInBoundedRounds) {
  constexpr uint32_t kTasks = 2000;
  LargeFleet fleet(240);
  fleet.Submit("a", kTasks);
  size_t starts = 0;
  while (const size_t n = fleet.Step()) {
    EXPECT_LE(n, kMaxClaimsOfOneRound);
    starts += n;
  }
  EXPECT_EQ(starts, kTasks);
}

// Guards against a leader that is kept busy by work that waits for capacity: it
// looked at all runners for each waiting step in each round.
TEST(LargeFleetTest, WaitingWorkIsConsideredOnlyForRunnersThatChanged) {
  constexpr uint32_t kRunners = 240;
  LargeFleet fleet(kRunners);
  fleet.Submit("a", kRunners * kRunnerMillicores / kSmallNeed.millicores);
  while (fleet.Step() > 0) {
  }
  fleet.Submit("b", 1);
  EXPECT_EQ(fleet.Step(), 0U);
  const uint64_t before = fleet.work().runners;
  EXPECT_EQ(fleet.Step(), 0U);
  EXPECT_EQ(fleet.work().runners - before, 0U);
  fleet.Report(7);
  EXPECT_EQ(fleet.Step(), 0U);
  EXPECT_EQ(fleet.work().runners - before, 1U);
}

}  // namespace
}  // namespace papayadrift::jobs
