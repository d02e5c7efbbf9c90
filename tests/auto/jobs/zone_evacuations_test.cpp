#include "jobs/zone_evacuations.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <ranges>
#include <set>
#include <string>
#include <utility>
#include <variant>

#include "job_scheduler_fixture.h"

namespace papayadrift::jobs {
namespace {

constexpr char kZoneA[] = "zone-a";
constexpr char kZoneB[] = "zone-b";

TEST(ZoneEvacuationsTest, TellsWhatHasBegunAndEnded) {
  ZoneEvacuations evacuations;
  EXPECT_EQ(evacuations.Update({kZoneA}, At(0)),
            (ZoneEvacuations::Changes{{kZoneA}, {}}));
  EXPECT_EQ(evacuations.Update({kZoneA, kZoneB}, At(100)),
            (ZoneEvacuations::Changes{{kZoneB}, {}}));
  EXPECT_TRUE(evacuations.ContainsSince(kZoneA, At(0)));
  EXPECT_FALSE(evacuations.ContainsSince(kZoneB, At(99)));
  EXPECT_EQ(evacuations.Update({kZoneB}, At(200)),
            (ZoneEvacuations::Changes{{}, {kZoneA}}));
  EXPECT_FALSE(evacuations.Contains(kZoneA));
  EXPECT_TRUE(evacuations.Update({kZoneB}, At(300)).is_empty());
}

JobSchedulerSettings WithZonesViewLimit() {
  JobSchedulerSettings settings;
  settings.view_limit = milliseconds(3500);
  settings.zones_view_limit = milliseconds(4500);
  return settings;
}

// Runners kFirst in zone A and kSecond in zone B.
class ZoneEvacuationTest : public JobSchedulerTest {
 protected:
  ZoneEvacuationTest() : JobSchedulerTest(WithZonesViewLimit()) {}

  void ReportAll(int64_t now_ms,
                 const std::vector<ActiveRun>& first = {},
                 const std::vector<ActiveRun>& second = {}) {
    ReportFrom(kFirst, kZoneA, now_ms, first);
    ReportFrom(kSecond, kZoneB, now_ms, second);
  }
  void ReportFrom(const RunnerIncarnation& incarnation,
                  const std::string& zone,
                  int64_t now_ms,
                  const std::vector<ActiveRun>& active) {
    RunnerReport report = ReportOf(incarnation);
    report.zone = zone;
    report.sent_at_ms = now_ms;
    report.listed_at_ms = now_ms;
    report.active = active;
    scheduler_.OnReport(report, At(now_ms));
    scheduler_.OnLeaseGranted(incarnation,
                              At(now_ms) + JobSchedulerSettings().lease);
  }
  void View(const std::set<std::string>& zones, int64_t now_ms) {
    scheduler_.SetEvacuatedZones(zones, At(now_ms));
    scheduler_.OnZonesViewed(At(now_ms));
  }
  static size_t CountStartsOn(const RunnerOrders& orders,
                              const RunnerIncarnation& incarnation) {
    return static_cast<size_t>(
        std::ranges::count_if(orders, [&](const auto& it) {
          return it.first == incarnation &&
                 std::holds_alternative<StartOrder>(it.second);
        }));
  }
  size_t CountWithdrawn() const {
    return static_cast<size_t>(
        std::ranges::count(events_, JobSchedulerEvent::Kind::kRunWithdrawn,
                           &JobSchedulerEvent::kind));
  }
  // Answers all starts, and returns the runs as the runner lists them.
  std::vector<ActiveRun> Accept(const RunnerOrders& orders,
                                const RunnerIncarnation& incarnation,
                                int64_t now_ms) {
    std::vector<ActiveRun> active;
    for (const auto& [runner, order] : orders) {
      const auto* start = std::get_if<StartOrder>(&order);
      if (runner == incarnation && start != nullptr) {
        scheduler_.OnOrderResult(runner, order, {OrderVerdict::kDone, now_ms},
                                 At(now_ms));
        active.push_back({start->task, start->run, "", 100, 0});
      }
    }
    return active;
  }
};

// Guards against work that is sent to a zone that operators empty, and against
// one that stays empty after they have reopened it.
TEST_F(ZoneEvacuationTest, NothingStartsInAnEvacuatedZoneUntilItIsReopened) {
  ReportAll(0);
  View({kZoneA}, 0);
  scheduler_.AddJob(JobId("a"), JobOf(8, 1000));
  const RunnerOrders orders = Orders(10);
  EXPECT_EQ(CountStartsOn(orders, kFirst), 0U);
  EXPECT_EQ(CountStartsOn(orders, kSecond), 4U);
  EXPECT_EQ(scheduler_.waiting_tasks(), 4U);
  View({}, 100);
  EXPECT_EQ(CountStartsOn(Orders(110), kFirst), 4U);
}

// Guards against a start that was lost on its way and is repeated in a zone
// that has been evacuated since.
TEST_F(ZoneEvacuationTest, UnansweredStartIsNotRepeatedInAnEvacuatedZone) {
  ReportAll(0);
  View({kZoneB}, 0);
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  ASSERT_EQ(CountStartsOn(Orders(10), kFirst), 1U);
  View({kZoneA}, 20);
  ReportAll(500);
  const RunnerOrders later = Orders(510);
  EXPECT_EQ(CountStarts(later), 0U);
  ASSERT_EQ(later.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<StopOrder>(later[0].second));
}

// Guards against a claim that was made right before an evacuation and whose
// start is sent after it.
TEST_F(ZoneEvacuationTest, ClaimThatWasNotSentIsReleasedByAnEvacuation) {
  ReportAll(0);
  View({kZoneB}, 0);
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  scheduler_.OnJobsViewed(At(10));
  scheduler_.Advance(At(10), 10);  // Claimed, but not stored yet.
  View({kZoneA}, 20);
  Store();
  EXPECT_TRUE(scheduler_.TakeOrders(At(20)).empty());
  EXPECT_EQ(CountStartsOn(Orders(30), kSecond), 1U);
}

// Guards against a new leader that starts work in a zone whose evacuation it
// has not read yet.
TEST_F(ZoneEvacuationTest, NothingIsClaimedBeforeTheZonesAreKnown) {
  constexpr int64_t kHourMs = 3'600'000;  // The clock does not start at 0.
  ReportAll(kHourMs);
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  EXPECT_EQ(CountStarts(Orders(kHourMs + 10)), 0U);
  View({}, kHourMs + 20);
  EXPECT_EQ(CountStarts(Orders(kHourMs + 30)), 1U);
}

// Guards against a leader that reads jobs but no longer the operators' records,
// and starts work in a zone that has been evacuated meanwhile.
TEST_F(ZoneEvacuationTest, NothingStartsOnAnOldViewOfTheZones) {
  constexpr int64_t kHourMs = 3'600'000;
  View({}, kHourMs);
  ReportAll(kHourMs + 3499);
  scheduler_.AddJob(JobId("a"), JobOf(1, 1000));
  scheduler_.OnJobsViewed(At(kHourMs + 3499));
  // The agent refuses starts 3,500 ms after this time.
  EXPECT_EQ(scheduler_.ViewedAtMs(kFirst), kHourMs + 1000);
  EXPECT_EQ(CountStarts(Orders(kHourMs + 3499)), 1U);
  ReportAll(kHourMs + 4500);
  scheduler_.AddJob(JobId("b"), JobOf(1, 1000));
  EXPECT_EQ(CountStarts(Orders(kHourMs + 4500)), 0U);
  View({}, kHourMs + 4510);
  EXPECT_GE(CountStarts(Orders(kHourMs + 4520)), 1U);
}

// Guards against services that go down as a whole when their zone is emptied,
// against ones that never leave it, and against batch work that is lost since
// it is stopped shortly before its end.
TEST_F(ZoneEvacuationTest, LastingTasksLeaveALongEvacuationOneAtATime) {
  ReportAll(0);
  View({kZoneB}, 0);
  Job service = JobOf(2, 1000);
  service.steps[0].is_long_running = true;
  scheduler_.AddJob(JobId("a"), service);
  scheduler_.AddJob(JobId("b"), JobOf(1, 1000));
  std::vector<ActiveRun> active = Accept(Orders(10), kFirst, 20);
  ASSERT_EQ(active.size(), 3U);
  View({kZoneA}, 100);
  for (int64_t ms = 500; ms < 10'100; ms += 500) {
    for (ActiveRun& run : active) {
      run.percent = static_cast<uint32_t>(ms / 200);  // The batch task works.
    }
    ReportAll(ms, active);
    View({kZoneA}, ms);
    Orders(ms);
    ASSERT_EQ(CountWithdrawn(), 0U) << ms;
  }
  for (const int64_t ms : {10'200, 10'400, 10'600}) {
    ReportAll(ms, active);
    View({kZoneA}, ms);
    Orders(ms);
    EXPECT_EQ(CountWithdrawn(), 1U) << ms;
  }
  const auto moved =
      std::ranges::find(events_, JobSchedulerEvent::Kind::kRunWithdrawn,
                        &JobSchedulerEvent::kind);
  EXPECT_TRUE(moved->subject.starts_with("a.")) << moved->subject;
}

// Guards against a service that loses a task by an evacuation though no other
// zone has room for it.
TEST_F(ZoneEvacuationTest, LastingTaskStaysWhileNoOtherZoneHasRoom) {
  ReportAll(0);
  View({kZoneB}, 0);
  Job service = JobOf(1, 1000);
  service.steps[0].is_long_running = true;
  scheduler_.AddJob(JobId("a"), service);
  const std::vector<ActiveRun> active = Accept(Orders(10), kFirst, 20);
  ASSERT_EQ(active.size(), 1U);
  View({kZoneA, kZoneB}, 100);
  for (int64_t ms = 500; ms < 15'000; ms += 500) {
    ReportAll(ms, active);
    View({kZoneA, kZoneB}, ms);
    Orders(ms);
  }
  EXPECT_EQ(CountWithdrawn(), 0U);
}

}  // namespace
}  // namespace papayadrift::jobs
