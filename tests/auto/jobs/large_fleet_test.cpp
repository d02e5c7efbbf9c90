#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <pcg_random.hpp>
#include <ranges>
#include <string>
#include <variant>
#include <vector>

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
  uint64_t tallied_tasks() const { return scheduler_.tallied_tasks(); }
  uint64_t checked_runs() const { return scheduler_.checked_runs(); }

  void Report(uint32_t index) {
    RunnerReport report;
    report.incarnation = {"node-" + std::to_string(index), "i", 1};
    report.service = "s";
    report.capacity = {kRunnerMillicores, kRunnerMillicores, 0};
    report.sent_at_ms = 1;
    scheduler_.OnReport(report, now_);
    scheduler_.OnLeaseGranted(report.incarnation, now_ + seconds(6));
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
    scheduler_.OnJobsViewed(now_);
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

  // The same, and the runners execute the orders.
  size_t StepAndExecute() {
    scheduler_.Advance(now_, 1);
    scheduler_.OnStored(scheduler_.TakeChanges().version);
    size_t starts = 0;
    for (const auto& [incarnation, orders] : scheduler_.TakeOrders(now_)) {
      for (const Order& order : orders) {
        starts += std::holds_alternative<StartOrder>(order) ? 1 : 0;
        scheduler_.OnOrderResult(incarnation, order, {OrderVerdict::kDone, 1},
                                 now_);
      }
    }
    return starts;
  }

  void Cancel(const std::string& id) { scheduler_.Cancel(JobId(id), now_); }

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

// Guards against a leader that looks at all tasks of all open jobs in each
// round of decisions, of which reports bring hundreds a second.
TEST(LargeFleetTest, ARoundLooksAtTasksOnlyOfJobsThatChanged) {
  constexpr uint32_t kJobs = 300;
  constexpr uint32_t kTasks = 20;
  LargeFleet fleet(66);
  for (uint32_t i = 0; i < kJobs; ++i) {
    fleet.Submit("job-" + std::to_string(i), kTasks);
  }
  while (fleet.Step() > 0) {
  }
  EXPECT_EQ(fleet.Step(), 0U);
  const uint64_t before = fleet.tallied_tasks();
  EXPECT_EQ(fleet.Step(), 0U);
  EXPECT_EQ(fleet.tallied_tasks() - before, 0U);
  fleet.Submit("new", 1);
  EXPECT_EQ(fleet.Step(), 0U);
  EXPECT_EQ(fleet.tallied_tasks() - before, 1U);
}

// Guards against a leader that looks at all runs in each round of decisions,
// for orders that may be due.
TEST(LargeFleetTest, ARoundLooksOnlyAtRunsThatWaitForAnOrder) {
  constexpr uint32_t kRunners = 240;
  LargeFleet fleet(kRunners);
  fleet.Submit("a", kRunners * 7);
  while (fleet.StepAndExecute() > 0) {
  }
  EXPECT_EQ(fleet.StepAndExecute(), 0U);
  const uint64_t before = fleet.checked_runs();
  EXPECT_EQ(fleet.StepAndExecute(), 0U);
  EXPECT_EQ(fleet.checked_runs() - before, 0U);
  fleet.Submit("b", 1);
  EXPECT_EQ(fleet.StepAndExecute(), 1U);
  EXPECT_EQ(fleet.checked_runs() - before, 1U);
  fleet.Cancel("b");
  EXPECT_EQ(fleet.StepAndExecute(), 0U);
  EXPECT_EQ(fleet.checked_runs() - before, 2U);
}

// Emulates a small fleet with random reports, ends, failures, pauses, draining,
// capacities, cancellings and waiting work.
class RandomFleet {
 public:
  RandomFleet(uint64_t seed, const JobSchedulerSettings& settings)
      : random_(seed), scheduler_(settings, now_, nullptr) {
    Queue queue;
    queue.name = "q";
    queue.service = "s";
    queue.max_failures = 3;
    routes_.version = 1;
    routes_.queues = {queue};
    scheduler_.SetRoutes(routes_);
  }

  void DoSomething() {
    now_ += milliseconds(random_(400));
    constexpr uint32_t kActions = 8;
    switch (random_(kActions)) {
      case 0:
        Submit();
        break;
      case 1:
        scheduler_.Cancel(JobId(std::to_string(random_(jobs_ + 1))), now_);
        break;
      default:
        Report(runners_[random_(runners_.size())]);
    }
  }

  // Places what can be placed; returns the number of starts.
  size_t Place() {
    size_t starts = 0;
    size_t orders = 0;
    do {
      scheduler_.OnJobsViewed(now_);
      scheduler_.Advance(now_, 1);
      scheduler_.OnStored(scheduler_.TakeChanges().version);
      orders = 0;
      for (const auto& [incarnation, batch] : scheduler_.TakeOrders(now_)) {
        for (const Order& order : batch) {
          ++orders;
          starts += Execute(incarnation, order) ? 1 : 0;
        }
      }
    } while (orders > 0);
    return starts;
  }

  // Lets the scheduler forget what it could not place, and what it has counted.
  void ForgetAttempts() { scheduler_.SetRoutes(routes_); }

 private:
  struct EmulatedRunner {
    RunnerIncarnation incarnation;
    std::map<TaskKey, uint32_t> runs;
    std::vector<EndedRun> ended;
    uint64_t ends = 0;
    RunnerState state = RunnerState::kReady;
    int64_t millicores = 4000;
  };

  void Submit() {
    Job job;
    job.queue = "q";
    job.steps.resize(1);
    job.steps[0].count = 1 + random_(6);
    job.steps[0].need = {500 * (1 + random_(6)), 100, 0};
    job.steps[0].max_per_runner = random_(3) == 0 ? 1 : 0;
    scheduler_.AddJob(JobId(std::to_string(++jobs_)), job);
  }

  int64_t NowMs() const {
    return std::chrono::floor<milliseconds>(now_).time_since_epoch().count();
  }

  void Report(EmulatedRunner& runner) {
    constexpr int64_t kMaxThousands = 6;
    if (random_(4) == 0) {
      runner.millicores = 1000 * (1 + random_(kMaxThousands));
    }
    runner.state =
        random_(5) == 0 ? RunnerState::kDraining : RunnerState::kReady;
    if (!runner.runs.empty() && random_(2) == 0) {
      const auto [task, run] = *runner.runs.begin();
      runner.runs.erase(task);
      runner.ended.push_back({++runner.ends, task, run,
                              random_(3) == 0 ? RunEnd::kFailed : RunEnd::kDone,
                              ""});
    }
    RunnerReport report;
    report.incarnation = runner.incarnation;
    report.service = "s";
    report.state = runner.state;
    report.capacity = {runner.millicores, 10000, 0};
    report.sent_at_ms = NowMs();
    report.listed_at_ms = NowMs();
    for (const auto& [task, run] : runner.runs) {
      report.active.push_back(
          {task, run, "", static_cast<uint32_t>(random_(100)), 0});
    }
    report.ended = runner.ended;
    scheduler_.OnReport(report, now_);
    scheduler_.OnLeaseGranted(runner.incarnation, now_ + seconds(6));
  }

  // Returns whether the order is a start.
  bool Execute(const RunnerIncarnation& incarnation, const Order& order) {
    EmulatedRunner& runner =
        *std::ranges::find(runners_, incarnation, &EmulatedRunner::incarnation);
    OrderVerdict verdict = OrderVerdict::kDone;
    const auto* start = std::get_if<StartOrder>(&order);
    if (start != nullptr && random_(6) == 0) {
      verdict = OrderVerdict::kNoRoom;
    } else if (start != nullptr) {
      runner.runs[start->task] = start->run;
    } else if (const auto* stop = std::get_if<StopOrder>(&order)) {
      runner.runs.erase(stop->task);
    }
    scheduler_.OnOrderResult(incarnation, order, {verdict, NowMs()}, now_);
    return start != nullptr;
  }

  pcg32 random_;
  Instant now_ = Instant(seconds(1));
  RouteTable routes_;
  JobScheduler scheduler_;
  std::vector<EmulatedRunner> runners_{{{"a", "i", 1}, {}, {}},
                                       {{"b", "i", 1}, {}, {}},
                                       {{"c", "i", 1}, {}, {}}};
  uint32_t jobs_ = 0;
};

// Guards against a task that waits although a runner has room again: the
// scheduler must not take the runner for unchanged.
void ExpectNoMissedRunner(const JobSchedulerSettings& settings) {
  constexpr uint64_t kSeeds = 50;
  constexpr int kEvents = 400;
  constexpr int kEventsBetweenChecks = 5;
  size_t placed = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RandomFleet fleet(seed, settings);
    for (int i = 0; i < kEvents; ++i) {
      fleet.DoSomething();
      placed += fleet.Place();
      if (i % kEventsBetweenChecks == 0) {
        fleet.ForgetAttempts();
        ASSERT_EQ(fleet.Place(), 0U) << "seed " << seed << ", event " << i;
      }
    }
  }
  EXPECT_GT(placed, kSeeds);
}

TEST(LargeFleetTest, NoWaitingTaskMissesARunnerThatHasRoomAgain) {
  ExpectNoMissedRunner(JobSchedulerSettings());
}

// The same with reservations that are made, used and given up meanwhile.
TEST(LargeFleetTest, NoWaitingTaskMissesARunnerWhoseReservationEnds) {
  JobSchedulerSettings settings;
  settings.policy.scarcity.reservations.is_enabled = true;
  settings.policy.scarcity.fragmentation.is_enabled = true;
  settings.policy.scarcity.turn_order.is_enabled = true;
  ExpectNoMissedRunner(settings);
}

}  // namespace
}  // namespace papayadrift::jobs
