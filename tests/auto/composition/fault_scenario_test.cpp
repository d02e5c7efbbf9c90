// One fault, or two, in a whole region on manual time, and what must not
// follow from it.

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <memory>
#include <optional>

#include "composition/region.h"

namespace papayadrift::test {
namespace {

constexpr milliseconds kStartLimit(10'000);
constexpr milliseconds kLongOutage(6'000);  // Four leases; under the cap.
constexpr milliseconds kLimit(30'000);

class FaultScenarioTest : public testing::Test {
 protected:
  void Start(int entries, int workers, uint64_t seed = 7) {
    region_ = std::make_unique<Region>(RegionOptions{seed, entries, workers});
    ASSERT_TRUE(region_->RunUntil(
        [this] {
          return std::ranges::all_of(region_->entries(),
                                     &EntryProcess::is_ready);
        },
        kStartLimit));
    region_->ApplyFile(*region_->entries().front(), ConfigurationVersion());
    ASSERT_TRUE(region_->RunUntil(
        [this] { return region_->IsConfigurationInForce(); }, kStartLimit));
  }

  void TearDown() override {
    EXPECT_TRUE(region_->violations().empty())
        << testing::PrintToString(region_->violations());
    if (HasFailure()) {
      std::cout << region_->trace();
    }
  }

  // Tasks that run on all workers.
  size_t RunningCount() const {
    size_t count = 0;
    for (const auto& worker : region_->workers()) {
      if (worker->is_running()) {
        count += static_cast<size_t>(std::ranges::count_if(
            worker->journal(),
            [](const auto& run) { return !run.ended_at.has_value(); }));
      }
    }
    return count;
  }

  void RunTasks(int tasks, int run_milliseconds) {
    region_->SubmitJob(*region_->entries().front(), "long-job", tasks, false,
                       run_milliseconds);
    ASSERT_TRUE(region_->RunUntil(
        [&] { return RunningCount() == static_cast<size_t>(tasks); }, kLimit));
  }

  // A worker that never ran a task, while others have some.
  WorkerProcess& IdleWorker() {
    return **std::ranges::find_if(region_->workers(), [](const auto& worker) {
      return worker->journal().empty();
    });
  }

  void BreakLogFor(milliseconds duration) {
    LogFaults faults;
    faults.is_down = true;
    region_->log().SetFaults(faults);
    region_->RunFor(duration);
  }

  // Tasks that run at the begin of the outage run at its end.
  void ExpectLongOutageStopsNoWork() {
    RunTasks(4, 20'000);
    BreakLogFor(kLongOutage);
    EXPECT_EQ(RunningCount(), 4U);
    EXPECT_EQ(region_->lapsed_runs(), 0);
  }

  std::unique_ptr<Region> region_;
};

TEST_F(FaultScenarioTest, LongOutageOfTheLogStopsNoWork) {
  Start(3, 3);
  ExpectLongOutageStopsNoWork();
}

TEST_F(FaultScenarioTest, LongOutageAfterTheDeathOfAWorkerStopsNoWork) {
  Start(3, 3);
  region_->worker("worker-2").Crash();
  ASSERT_TRUE(region_->RunUntil(
      [this] {
        return region_->auditor().decisions().workers().workers().size() == 2;
      },
      kLimit));
  ExpectLongOutageStopsNoWork();
}

TEST_F(FaultScenarioTest, LongOutageAfterTheDeathOfAnEntryStopsNoWork) {
  Start(3, 3);
  region_->CrashEntry("entry-2");
  ASSERT_TRUE(region_->RunUntil(
      [this] {
        return region_->auditor().decisions().entries().entries().size() == 2;
      },
      kLimit));
  ExpectLongOutageStopsNoWork();
}

TEST_F(FaultScenarioTest, LongOutageAfterAPauseOfAnEntryStopsNoWork) {
  Start(3, 3);
  EntryProcess& paused = *region_->FindEntry("entry-2");
  paused.runner().Pause();
  region_->RunFor(milliseconds(1'200));
  paused.runner().Resume(false);
  region_->RunFor(seconds(5));
  ExpectLongOutageStopsNoWork();
}

TEST_F(FaultScenarioTest, WorkerThatDiesInALongOutageStopsNoOtherWork) {
  Start(3, 4);
  RunTasks(4, 20'000);
  LogFaults faults;
  faults.is_down = true;
  region_->log().SetFaults(faults);
  region_->RunFor(milliseconds(300));
  IdleWorker().Crash();
  region_->RunFor(kLongOutage);
  EXPECT_EQ(RunningCount(), 4U);
  EXPECT_EQ(region_->lapsed_runs(), 0);
}

TEST_F(FaultScenarioTest, WorkerThatDiesJustBeforeALongOutageStopsNoOtherWork) {
  // Its lapse is proposed before, at, or after the begin of the outage.
  for (int until_outage = 500; until_outage <= 1'000; until_outage += 10) {
    SCOPED_TRACE(until_outage);
    Start(3, 4);
    RunTasks(4, 20'000);
    IdleWorker().Crash();
    region_->RunFor(milliseconds(until_outage));
    BreakLogFor(kLongOutage);
    EXPECT_EQ(RunningCount(), 4U);
    EXPECT_EQ(region_->lapsed_runs(), 0);
  }
}

TEST_F(FaultScenarioTest, LapseWhoseAnswerIsLostInALongOutageStopsNoOtherWork) {
  Start(3, 4);
  RunTasks(4, 20'000);
  region_->BreakLogAtNextLapse();
  IdleWorker().Crash();
  ASSERT_TRUE(region_->RunUntil([this] { return region_->is_log_broken(); },
                                seconds(2)));
  BreakLogFor(kLongOutage);
  std::cout << "tasks that go on: " << RunningCount() << " of 4\n";
  EXPECT_EQ(RunningCount(), 4U);
  EXPECT_EQ(region_->lapsed_runs(), 0);
  region_->Heal();
  EXPECT_TRUE(
      region_->RunUntil([this] { return region_->AreJobsDone(); }, seconds(60)))
      << region_->Summary();
}

TEST_F(FaultScenarioTest, EntryCutFromWorkersOnlyLapsesNone) {
  Start(3, 3);
  RunTasks(4, 20'000);
  for (const EntryProcess* entry : region_->entries()) {
    for (const auto& worker : region_->workers()) {
      region_->links().Cut(entry->name(), worker->name());
    }
    region_->RunFor(kLongOutage);
    EXPECT_EQ(region_->lapsed_runs(), 0) << entry->name();
    region_->links().HealAll();
    region_->RunFor(seconds(1));
  }
}

TEST_F(FaultScenarioTest, EntryPausedForLessThanALeaseLapsesNoWorker) {
  Start(1, 3);
  RunTasks(4, 20'000);
  EntryProcess& only = *region_->entries().front();
  for (int i = 0; i < 4; ++i) {
    only.runner().Pause();
    region_->RunFor(milliseconds(1'000));
    only.runner().Resume(i % 2 == 0);
    region_->RunFor(milliseconds(2'000));
  }
  EXPECT_EQ(region_->lapsed_runs(), 0);
  EXPECT_EQ(RunningCount(), 4U);
}

TEST_F(FaultScenarioTest, EntryIsReadyOnlyOnceItKnowsTheConfiguration) {
  Start(1, 1);
  region_->CrashEntry("entry-1");
  LogFaults faults;
  faults.unreadable = log::StreamId("configuration");
  region_->log().SetFaults(faults);
  region_->RestartEntry("entry-1");
  const EntryProcess& entry = *region_->FindEntry("entry-1");
  ASSERT_TRUE(region_->RunUntil(
      [&] { return entry.controller().membership().own_state() != nullptr; },
      kLimit));
  region_->RunFor(seconds(5));
  EXPECT_FALSE(entry.is_ready());
  region_->log().SetFaults({});
  ASSERT_TRUE(region_->RunUntil([&] { return entry.is_ready(); }, kLimit));
  EXPECT_EQ(entry.controller().configuration().in_force().version,
            ConfigurationVersion(1));
}

TEST_F(FaultScenarioTest, WorkerBackBeforeItsLapseIsCompleteCausesNoAppends) {
  constexpr uint64_t kMaximumIdleAppends = 30;  // 3 a second.
  Start(2, 3);
  WorkerProcess& paused = region_->worker("worker-1");
  paused.Pause();
  region_->RunFor(milliseconds(2'200));
  paused.Resume(false);
  region_->RunFor(seconds(10));
  const uint64_t before = region_->log().stored_count();
  region_->RunFor(seconds(10));
  EXPECT_LE(region_->log().stored_count() - before, kMaximumIdleAppends);
  // The lapse of another worker is still brought to its end.
  region_->worker("worker-2").Crash();
  EXPECT_TRUE(region_->RunUntil(
      [this] {
        return region_->auditor().decisions().workers().workers().size() == 2;
      },
      kLimit));
}

TEST_F(FaultScenarioTest, TasksOfAWorkerThatComesBackAnewRunAgain) {
  Start(2, 2);
  RunTasks(6, 3'000);  // More than one worker has room for.
  WorkerProcess& paused = region_->worker("worker-1");
  paused.Pause();
  region_->RunFor(milliseconds(2'200));
  // Before its lapse is complete it vouches that nothing of it runs.
  paused.Resume(false);
  EXPECT_TRUE(
      region_->RunUntil([this] { return region_->AreJobsDone(); }, kLimit))
      << region_->Summary();
}

TEST_F(FaultScenarioTest, JobWhoseFateTheLogDroppedIsNotCalledNotRun) {
  constexpr uint64_t kRetained = 450;
  Start(2, 1);
  EntryProcess& cut_off = *region_->FindEntry("entry-1");
  EntryProcess& other = *region_->FindEntry("entry-2");
  LogFaults faults;
  faults.lost_answers = 100;
  region_->log().SetFaults(faults);
  region_->SubmitJob(cut_off, "job", 1, false, 100);
  ASSERT_TRUE(region_->RunUntil(
      [this] { return region_->auditor().WasSubmitted(JobId("job")); },
      kLimit));
  region_->links().Cut(cut_off.name(), kLogName);
  region_->log().SetFaults({});
  region_->log().Retain(kRetained);
  const uint64_t end = region_->log().stored_count() + 2 * kRetained;
  ASSERT_TRUE(region_->RunUntil(
      [&] {
        region_->ClaimKey(other, region_->NewKey());
        return region_->log().stored_count() > end;
      },
      seconds(120)));
  region_->links().HealAll();
  region_->RunFor(seconds(10));
  region_->CheckAtEnd();
}

TEST_F(FaultScenarioTest, AllEntriesReplacedUnderNewAddressesFinishTheWork) {
  constexpr uint64_t kSeeds = 40;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE(seed);
    Start(2, 3, seed);
    RunTasks(4, 3'000);
    for (const EntryProcess* entry : region_->entries()) {
      region_->CrashEntry(entry->name());
    }
    region_->StartNewEntry();
    region_->RunFor(milliseconds(region_->random()(2'000)));
    region_->StartNewEntry();
    EXPECT_TRUE(region_->RunUntil([this] { return region_->AreJobsDone(); },
                                  seconds(60)))
        << region_->Summary();
  }
}

TEST_F(FaultScenarioTest, RetiredByWordTheOldEntriesAreNotWaitedFor) {
  Start(2, 3);
  RunTasks(4, 3'000);
  for (const EntryProcess* entry : region_->entries()) {
    region_->CrashEntry(entry->name());
  }
  region_->StartNewEntry();
  EntryProcess& asked = region_->StartNewEntry();
  ASSERT_TRUE(region_->RunUntil(
      [&] { return asked.controller().membership().own_state() != nullptr; },
      kStartLimit));
  const Instant joined_at = region_->timeline().now();
  // A joiner that has not read the log yet asks the other for promises.
  region_->RunFor(2 * RegionLeaseSettings().promise);
  region_->RetireGoneEntries(asked);
  EXPECT_TRUE(region_->RunUntil(
      [this] {
        return std::ranges::all_of(region_->entries(), &EntryProcess::is_ready);
      },
      RegionLeaseSettings().outage_cap - 2 * RegionLeaseSettings().promise));
  const auto waited =
      std::chrono::ceil<milliseconds>(region_->timeline().now() - joined_at);
  std::cout << "ready after " << waited.count() << " ms\n";
  EXPECT_TRUE(
      region_->RunUntil([this] { return region_->AreJobsDone(); }, seconds(60)))
      << region_->Summary();
}

TEST_F(FaultScenarioTest, AnEntryThatIsHeardOrUnknownIsNotRetired) {
  Start(2, 1);
  const replay::EntryKey other =
      region_->FindEntry("entry-2")->controller().membership().key();
  const auto status_of = [&](Incarnation incarnation) {
    int status = 0;
    region_->FindEntry("entry-1")->controller().RetireEntry(
        {other.entry, incarnation},
        [&](const http::Response& it) { status = it.status; });
    return status;
  };
  EXPECT_EQ(status_of(other.incarnation), 409);
  EXPECT_EQ(status_of(other.incarnation.Next()), 404);
}

}  // namespace
}  // namespace papayadrift::test
