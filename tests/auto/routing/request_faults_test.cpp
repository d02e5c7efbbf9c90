#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

#include "fake_cluster.h"
#include "routing/service_state.h"

namespace papayadrift::routing {
namespace {

constexpr double kSaturation = 8800;  // 88 slots, 10 ms per request.
constexpr milliseconds kTimeAllowed(200);
constexpr seconds kSettleTime(5);

RoutingSettings Settings() {
  return {};
}

using Violations = std::vector<std::string>;

// Injects one kind of fault at a time, into one of ten sends.
class SingleFaultTest : public testing::TestWithParam<FakeBehavior> {};

TEST_P(SingleFaultTest, InvariantsHoldForBothKindsOfService) {
  FakeCluster cluster(2, Settings(), 7);
  int n = 0;
  cluster.runners.SetBehavior([&](const Send&) {
    return ++n % 10 == 0 ? GetParam() : FakeBehavior::kServe;
  });
  cluster.ScheduleArrivals(kChecks, 1000, seconds(1), kTimeAllowed);
  cluster.ScheduleArrivals(kDispatches, 200, seconds(1), kTimeAllowed);
  cluster.RunFor(kSettleTime);
  EXPECT_EQ(cluster.FindViolations(), Violations());
  EXPECT_GE(cluster.answered(), 1150);
  EXPECT_TRUE(cluster.keys.all_are_resolved());
}

INSTANTIATE_TEST_SUITE_P(All,
                         SingleFaultTest,
                         testing::Values(FakeBehavior::kServe,
                                         FakeBehavior::kFailFast,
                                         FakeBehavior::kNotConnected,
                                         FakeBehavior::kDisconnectBefore,
                                         FakeBehavior::kDisconnectDuring,
                                         FakeBehavior::kTruncate,
                                         FakeBehavior::kWrongIdentity,
                                         FakeBehavior::kDuplicateAnswer,
                                         FakeBehavior::kNoAnswer));

TEST(OverloadTest, InvariantsHoldAtTwoAndTenTimesTheLoad) {
  for (const double factor : {2.0, 10.0}) {
    FakeCluster cluster(2, Settings(), 7);
    cluster.ScheduleArrivals(kChecks, factor * kSaturation, milliseconds(500),
                             kTimeAllowed);
    cluster.RunFor(kSettleTime);
    EXPECT_EQ(cluster.FindViolations(), Violations());
    EXPECT_GE(cluster.answered(), kSaturation / 2 * 0.9);
  }
}

TEST(OverloadTest, RefusalsComeAtOnceAndSayWhenToComeBack) {
  FakeCluster cluster(1, Settings(), 7);
  cluster.ScheduleArrivals(kChecks, 5 * kSaturation, milliseconds(500),
                           kTimeAllowed);
  cluster.RunFor(kSettleTime);
  int refused_immediately = 0;
  int refused = 0;
  for (const auto& [id, it] : cluster.entries[0]->outcomes()) {
    if (it.refusal) {
      ++refused;
      refused_immediately += it.ended_at == it.arrived_at ? 1 : 0;
      EXPECT_TRUE(it.refusal->retry_at);
      EXPECT_EQ(it.refusal->ran, Ran::kNo);
    }
  }
  EXPECT_GT(refused, 0);
  EXPECT_GE(refused_immediately, refused * 0.9);
}

TEST(OverloadTest, AllRunnersSlowAreNotAllEjectedAndRecover) {
  FakeCluster cluster(1, Settings(), 7);
  cluster.ScheduleArrivals(kChecks, kSaturation / 2, seconds(8), kTimeAllowed);
  cluster.RunFor(seconds(1));
  cluster.runners.SetServiceTimeFactor(30);
  cluster.RunFor(seconds(3));
  const ServiceState* service =
      cluster.entries[0]->engine().FindService(ServiceId(kChecks));
  EXPECT_LE(service->pool().ejected_count(cluster.clock.now()),
            kRunnerCount / 2);
  cluster.runners.SetServiceTimeFactor(1);
  cluster.RunFor(seconds(2));
  const int before = cluster.answered();
  cluster.RunFor(seconds(1));
  EXPECT_GE(cluster.answered() - before, kSaturation / 2 * 0.9);
  cluster.RunFor(kSettleTime);
  EXPECT_EQ(cluster.FindViolations(), Violations());
}

TEST(OverloadTest, HalfFailingFastDrawNoMoreThanTheirShare) {
  FakeCluster cluster(1, Settings(), 7);
  cluster.runners.SetBehavior([](const Send& send) {
    const int runner = std::stoi(send.address.substr(kChecks.size() + 1));
    return runner < kRunnerCount / 2 ? FakeBehavior::kFailFast
                                     : FakeBehavior::kServe;
  });
  cluster.ScheduleArrivals(kChecks, kSaturation / 4, seconds(2), kTimeAllowed);
  cluster.RunFor(kSettleTime);
  EXPECT_EQ(cluster.FindViolations(), Violations());
  EXPECT_GE(cluster.answered(), kSaturation / 2 * 0.95);
}

TEST(OverloadTest, EverythingFailingIsNotMultiplied) {
  for (const FakeBehavior behavior :
       {FakeBehavior::kFailFast, FakeBehavior::kNotConnected,
        FakeBehavior::kDisconnectBefore, FakeBehavior::kNoAnswer}) {
    FakeCluster cluster(1, Settings(), 7);
    cluster.runners.SetBehavior([&](const Send&) { return behavior; });
    cluster.ScheduleArrivals(kChecks, 1000, seconds(1), kTimeAllowed);
    cluster.RunFor(kSettleTime);
    EXPECT_EQ(cluster.FindViolations(), Violations());
    EXPECT_LE(cluster.entries[0]->sends(), 1000 * 1.2);
  }
}

// Guards against an idempotent request that crashes one backend server after
// another by its retries.
TEST(CrashingRequestTest, RequestThatBreaksItsConnectionsIsSentToTwoRunners) {
  constexpr uint32_t kMaxSends = 2;
  for (const FakeBehavior behavior :
       {FakeBehavior::kDisconnectBefore, FakeBehavior::kDisconnectDuring,
        FakeBehavior::kTruncate}) {
    FakeCluster cluster(1, Settings(), 7);
    int n = 0;
    std::set<RequestId> crashing;
    std::map<RequestId, uint32_t> sends;
    cluster.runners.SetBehavior([&](const Send& send) {
      if (send.send.ordinal == 1 && ++n % 50 == 0) {
        crashing.insert(send.send.request);
      }
      ++sends[send.send.request];
      return crashing.contains(send.send.request) ? behavior
                                                  : FakeBehavior::kServe;
    });
    cluster.ScheduleArrivals(kChecks, 1000, seconds(1), kTimeAllowed);
    cluster.RunFor(kSettleTime);
    ASSERT_GE(crashing.size(), 10U);
    for (const RequestId& request : crashing) {
      EXPECT_LE(sends[request], kMaxSends);
    }
    EXPECT_EQ(cluster.FindViolations(), Violations());
    EXPECT_GE(cluster.answered(), 975);
  }
}

TEST(DrainTest, ADrainInABurstSendsNothingMoreAndCutsNothingOff) {
  FakeCluster cluster(1, Settings(), 7);
  cluster.ScheduleArrivals(kChecks, kSaturation / 2, seconds(2), kTimeAllowed);
  cluster.RunFor(seconds(1));
  ServiceRoute draining = FakeService(kChecks, kSlots);
  draining.runners[3].state = RunnerState::kDraining;
  cluster.entries[0]->Publish({draining});
  const Instant drained_at = cluster.clock.now();
  cluster.RunFor(kSettleTime);
  EXPECT_LE(cluster.runners.runner(kChecks + "-3").last_arrival, drained_at);
  EXPECT_EQ(cluster.answered(), kSaturation);
  EXPECT_EQ(cluster.FindViolations(), Violations());
}

TEST(StopTest, AStopFinishesWhatIsInFlightAndRefusesTheRest) {
  FakeCluster cluster(1, Settings(), 7);
  cluster.ScheduleArrivals(kChecks, kSaturation / 2, seconds(1), kTimeAllowed);
  cluster.ScheduleArrivals(kDispatches, 500, seconds(1), kTimeAllowed);
  cluster.RunFor(milliseconds(500));
  cluster.entries[0]->Handle(StopRequested{});
  EXPECT_FALSE(cluster.entries[0]->has_stopped());
  cluster.RunFor(kSettleTime);
  EXPECT_TRUE(cluster.entries[0]->has_stopped());
  EXPECT_EQ(cluster.answered() + cluster.refused(RefusalReason::kStopping),
            kSaturation / 2 + 500);
  EXPECT_EQ(cluster.FindViolations(), Violations());
}

TEST(KeyTest, TheSameKeyAtTwoEntriesRunsOnceAndRepeatsItsAnswer) {
  FakeCluster cluster(2, Settings(), 7);
  for (int it = 0; it < 3; ++it) {
    cluster.entries[0]->Arrive("customer", kDispatches, kTimeAllowed,
                               "truck-1");
    cluster.entries[1]->Arrive("customer", kDispatches, kTimeAllowed,
                               "truck-1");
  }
  cluster.RunFor(seconds(1));
  EXPECT_EQ(cluster.refused(RefusalReason::kKeyInProgress), 5);
  cluster.entries[1]->Arrive("customer", kDispatches, kTimeAllowed, "truck-1");
  cluster.RunFor(kSettleTime);
  EXPECT_EQ(cluster.answered(), 2);
  EXPECT_EQ(cluster.runners.executions("truck-1"), 1);
  EXPECT_EQ(cluster.FindViolations(), Violations());
}

TEST(KeyTest, WithoutTheLogADispatchIsNotRun) {
  FakeCluster cluster(1, Settings(), 7);
  cluster.keys.SetIsAvailable(false);
  cluster.entries[0]->Arrive("customer", kDispatches, kTimeAllowed, "truck-1");
  cluster.RunFor(kSettleTime);
  EXPECT_EQ(cluster.refused(RefusalReason::kLogUnavailable), 1);
  EXPECT_EQ(cluster.FindViolations(), Violations());
}

TEST(KeyTest, ALateAnswerStillProvesThatTheRequestRan) {
  FakeCluster cluster(1, Settings(), 7);
  for (int it = 0; it < kRunnerCount; ++it) {
    cluster.runners.runner(kDispatches + "-" + std::to_string(it)).sigma = 0;
  }
  cluster.runners.SetServiceTimeFactor(40);  // 400 ms.
  cluster.entries[0]->Arrive("customer", kDispatches, kTimeAllowed, "truck-1");
  cluster.RunFor(milliseconds(300));
  EXPECT_EQ(cluster.refused(RefusalReason::kBackendTimedOut), 1);
  cluster.RunFor(seconds(2));
  cluster.entries[0]->Arrive("customer", kDispatches, kTimeAllowed, "truck-1");
  cluster.RunFor(kSettleTime);
  EXPECT_EQ(cluster.answered(), 1);
  EXPECT_EQ(cluster.runners.executions("truck-1"), 1);
}

TEST(FairnessTest, ACustomerThatAsksForTenTimesMoreDoesNotStarveAnother) {
  FakeCluster cluster(1, Settings(), 7);
  FakeEntry& entry = *cluster.entries[0];
  for (int it = 0; it < 60'000; ++it) {
    const std::string customer = it % 11 == 0 ? "small" : "large";
    cluster.clock.At(cluster.clock.now() + microseconds(it * 25), [=, &entry] {
      entry.Arrive(customer, kChecks, kTimeAllowed);
    });
  }
  cluster.RunFor(kSettleTime);
  std::map<std::string, int> answered;
  std::map<std::string, int> asked;
  for (const auto& [id, it] : entry.outcomes()) {
    ++asked[it.info.customer.text()];
    answered[it.info.customer.text()] += it.response ? 1 : 0;
  }
  // The small customer requests less than half of the slots.
  EXPECT_GE(answered["small"], asked["small"] * 0.95);
  EXPECT_GE(answered["large"], asked["large"] / 11);
  EXPECT_EQ(cluster.FindViolations(), Violations());
}

TEST(PriorityTest, TheLowestPriorityIsShedFirst) {
  RoutingSettings settings;
  settings.maximum_queued = 50;
  FakeCluster cluster(1, settings, 7);
  ServiceRoute low = FakeService(kChecks, 1);
  ServiceRoute high = FakeService("high", 1);
  high.priority = 1;
  cluster.entries[0]->Publish({low, high});
  for (int it = 0; it < 200; ++it) {
    cluster.entries[0]->Arrive("customer", kChecks, seconds(1));
  }
  for (int it = 0; it < 40; ++it) {
    cluster.entries[0]->Arrive("customer", "high", seconds(1));
  }
  cluster.RunFor(kSettleTime);
  for (const auto& [id, it] : cluster.entries[0]->outcomes()) {
    EXPECT_TRUE(it.response || it.info.service == ServiceId(kChecks));
  }
  EXPECT_EQ(cluster.FindViolations(), Violations());
}

FakeBehavior AnyBehavior() {
  return *rc::gen::weightedElement<FakeBehavior>(
      {{20, FakeBehavior::kServe},
       {2, FakeBehavior::kFailFast},
       {2, FakeBehavior::kNotConnected},
       {1, FakeBehavior::kDisconnectBefore},
       {1, FakeBehavior::kDisconnectDuring},
       {1, FakeBehavior::kTruncate},
       {1, FakeBehavior::kWrongIdentity},
       {1, FakeBehavior::kDuplicateAnswer},
       {1, FakeBehavior::kNoAnswer}});
}

// The invariants hold for any order of arrivals at two entries, duplicate keys,
// faults, changed slot shares, drains and disconnected callers.
RC_GTEST_PROP(AnyOrderTest, InvariantsHold, ()) {
  FakeCluster cluster(2, Settings(), *rc::gen::inRange<uint64_t>(0, 1000));
  std::vector<FakeBehavior> behaviors;
  for (int it = 0; it < 40; ++it) {
    behaviors.push_back(AnyBehavior());
  }
  size_t n = 0;
  cluster.runners.SetBehavior(
      [&](const Send&) { return behaviors[n++ % behaviors.size()]; });
  const int steps = *rc::gen::inRange(1, 150);
  for (int it = 0; it < steps; ++it) {
    FakeEntry& entry = *cluster.entries[*rc::gen::inRange<size_t>(0, 2)];
    const int what = *rc::gen::inRange(0, 20);
    const microseconds allowed(*rc::gen::inRange(500, 300'000));
    if (what < 12) {
      entry.Arrive("customer", kChecks, allowed);
    } else if (what < 16) {
      const int key = *rc::gen::inRange(0, 20);
      entry.Arrive("customer", kDispatches, allowed, std::to_string(key));
    } else if (what == 16) {
      entry.Handle(CallerDisconnected{RequestId(*rc::gen::inRange(1, 150))});
    } else if (what == 17) {
      ServiceRoute checks = FakeService(kChecks, *rc::gen::inRange(0, 5));
      checks.runners[*rc::gen::inRange<size_t>(0, kRunnerCount)].state =
          RunnerState::kDraining;
      entry.Publish({checks, FakeService(kDispatches, 1)});
    } else if (what == 18) {
      entry.Publish({FakeService(kChecks, kSlots / 2)});
    } else {
      cluster.RunFor(microseconds(*rc::gen::inRange(0, 50'000)));
    }
  }
  cluster.RunFor(kSettleTime);
  for (const std::string& violation : cluster.FindViolations()) {
    RC_FAIL(violation);
  }
  for (const auto& entry : cluster.entries) {
    const auto requests = static_cast<double>(entry->outcomes().size());
    RC_ASSERT(entry->sends() <= requests * 1.2);
  }
}

}  // namespace
}  // namespace papayadrift::routing
