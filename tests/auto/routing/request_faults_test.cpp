#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fake_site.h"
#include "routing/service_state.h"

namespace papayadrift::routing {
namespace {

constexpr double kSaturation = 8800;  // 88 slots, 10 ms each.
constexpr milliseconds kAllowed(200);
constexpr seconds kSettled(5);

RoutingSettings Settings() {
  return {};
}

using Broken = std::vector<std::string>;

// Each way in which one answer of many can go wrong, alone.
class OneFaultTest : public testing::TestWithParam<FakeDeed> {};

TEST_P(OneFaultTest, EveryPromiseHoldsForBothKindsOfService) {
  FakeSite site(2, Settings(), 7);
  int n = 0;
  site.runners.SetDeeds([&](const Send&) {
    return ++n % 10 == 0 ? GetParam() : FakeDeed::kServe;
  });
  site.Burst(kChecks, 1000, seconds(1), kAllowed);
  site.Burst(kDispatches, 200, seconds(1), kAllowed);
  site.RunFor(kSettled);
  EXPECT_EQ(site.Audit(), Broken());
  EXPECT_GE(site.answered(), 1150);
  EXPECT_TRUE(site.keys.all_are_resolved());
}

INSTANTIATE_TEST_SUITE_P(All,
                         OneFaultTest,
                         testing::Values(FakeDeed::kServe,
                                         FakeDeed::kFailFast,
                                         FakeDeed::kNotConnected,
                                         FakeDeed::kCutBefore,
                                         FakeDeed::kCutDuring,
                                         FakeDeed::kCutAfter,
                                         FakeDeed::kSwap,
                                         FakeDeed::kRepeat,
                                         FakeDeed::kSilent));

TEST(OverloadTest, TwoAndTenTimesTheLoadBreakNoPromise) {
  for (const double factor : {2.0, 10.0}) {
    FakeSite site(2, Settings(), 7);
    site.Burst(kChecks, factor * kSaturation, milliseconds(500), kAllowed);
    site.RunFor(kSettled);
    EXPECT_EQ(site.Audit(), Broken());
    EXPECT_GE(site.answered(), kSaturation / 2 * 0.9);
  }
}

TEST(OverloadTest, RefusalsComeAtOnceAndSayWhenToComeBack) {
  FakeSite site(1, Settings(), 7);
  site.Burst(kChecks, 5 * kSaturation, milliseconds(500), kAllowed);
  site.RunFor(kSettled);
  int at_once = 0;
  int refused = 0;
  for (const auto& [id, it] : site.entries[0]->endings()) {
    if (it.refusal) {
      ++refused;
      at_once += it.ended_at == it.arrived_at ? 1 : 0;
      EXPECT_TRUE(it.refusal->retry_at);
      EXPECT_EQ(it.refusal->ran, Ran::kNo);
    }
  }
  EXPECT_GT(refused, 0);
  EXPECT_GE(at_once, refused * 0.9);
}

TEST(OverloadTest, AllRunnersSlowAreNotAllEjectedAndRecover) {
  FakeSite site(1, Settings(), 7);
  site.Burst(kChecks, kSaturation / 2, seconds(8), kAllowed);
  site.RunFor(seconds(1));
  site.runners.SetSlowness(30);
  site.RunFor(seconds(3));
  const ServiceState* service =
      site.entries[0]->engine().FindService(ServiceId(kChecks));
  EXPECT_LE(service->pool().ejected_count(site.timeline.now()),
            kRunnerCount / 2);
  site.runners.SetSlowness(1);
  site.RunFor(seconds(2));
  const int before = site.answered();
  site.RunFor(seconds(1));
  EXPECT_GE(site.answered() - before, kSaturation / 2 * 0.9);
  site.RunFor(kSettled);
  EXPECT_EQ(site.Audit(), Broken());
}

TEST(OverloadTest, HalfFailingFastDrawNoMoreThanTheirShare) {
  FakeSite site(1, Settings(), 7);
  site.runners.SetDeeds([](const Send& send) {
    const int runner = std::stoi(send.address.substr(kChecks.size() + 1));
    return runner < kRunnerCount / 2 ? FakeDeed::kFailFast : FakeDeed::kServe;
  });
  site.Burst(kChecks, kSaturation / 4, seconds(2), kAllowed);
  site.RunFor(kSettled);
  EXPECT_EQ(site.Audit(), Broken());
  EXPECT_GE(site.answered(), kSaturation / 2 * 0.95);
}

TEST(OverloadTest, EverythingFailingIsNotMultiplied) {
  for (const FakeDeed deed : {FakeDeed::kFailFast, FakeDeed::kNotConnected,
                              FakeDeed::kCutBefore, FakeDeed::kSilent}) {
    FakeSite site(1, Settings(), 7);
    site.runners.SetDeeds([&](const Send&) { return deed; });
    site.Burst(kChecks, 1000, seconds(1), kAllowed);
    site.RunFor(kSettled);
    EXPECT_EQ(site.Audit(), Broken());
    EXPECT_LE(site.entries[0]->sends(), 1000 * 1.2);
  }
}

TEST(DrainTest, ADrainInABurstSendsNothingMoreAndCutsNothingOff) {
  FakeSite site(1, Settings(), 7);
  site.Burst(kChecks, kSaturation / 2, seconds(2), kAllowed);
  site.RunFor(seconds(1));
  ServiceRoute draining = FakeService(kChecks, kSlots);
  draining.runners[3].state = RunnerState::kDraining;
  site.entries[0]->Publish({draining});
  const Instant drained_at = site.timeline.now();
  site.RunFor(kSettled);
  EXPECT_LE(site.runners.runner(kChecks + "-3").last_arrival, drained_at);
  EXPECT_EQ(site.answered(), kSaturation);
  EXPECT_EQ(site.Audit(), Broken());
}

TEST(StopTest, AStopFinishesWhatIsInFlightAndRefusesTheRest) {
  FakeSite site(1, Settings(), 7);
  site.Burst(kChecks, kSaturation / 2, seconds(1), kAllowed);
  site.Burst(kDispatches, 500, seconds(1), kAllowed);
  site.RunFor(milliseconds(500));
  site.entries[0]->Handle(StopBegun{});
  EXPECT_FALSE(site.entries[0]->has_stopped());
  site.RunFor(kSettled);
  EXPECT_TRUE(site.entries[0]->has_stopped());
  EXPECT_EQ(site.answered() + site.refused(RefusalReason::kStopping),
            kSaturation / 2 + 500);
  EXPECT_EQ(site.Audit(), Broken());
}

TEST(KeyTest, TheSameKeyAtTwoEntriesRunsOnceAndRepeatsItsAnswer) {
  FakeSite site(2, Settings(), 7);
  for (int it = 0; it < 3; ++it) {
    site.entries[0]->Arrive("customer", kDispatches, kAllowed, "truck-1");
    site.entries[1]->Arrive("customer", kDispatches, kAllowed, "truck-1");
  }
  site.RunFor(seconds(1));
  EXPECT_EQ(site.refused(RefusalReason::kKeyInProgress), 5);
  site.entries[1]->Arrive("customer", kDispatches, kAllowed, "truck-1");
  site.RunFor(kSettled);
  EXPECT_EQ(site.answered(), 2);
  EXPECT_EQ(site.runners.executions("truck-1"), 1);
  EXPECT_EQ(site.Audit(), Broken());
}

TEST(KeyTest, WithoutTheLogADispatchIsNotRun) {
  FakeSite site(1, Settings(), 7);
  site.keys.SetIsAvailable(false);
  site.entries[0]->Arrive("customer", kDispatches, kAllowed, "truck-1");
  site.RunFor(kSettled);
  EXPECT_EQ(site.refused(RefusalReason::kLogUnavailable), 1);
  EXPECT_EQ(site.Audit(), Broken());
}

TEST(KeyTest, ALateAnswerStillProvesThatTheRequestRan) {
  FakeSite site(1, Settings(), 7);
  for (int it = 0; it < kRunnerCount; ++it) {
    site.runners.runner(kDispatches + "-" + std::to_string(it)).sigma = 0;
  }
  site.runners.SetSlowness(40);  // 400 ms.
  site.entries[0]->Arrive("customer", kDispatches, kAllowed, "truck-1");
  site.RunFor(milliseconds(300));
  EXPECT_EQ(site.refused(RefusalReason::kBackendTimedOut), 1);
  site.RunFor(seconds(2));
  site.entries[0]->Arrive("customer", kDispatches, kAllowed, "truck-1");
  site.RunFor(kSettled);
  EXPECT_EQ(site.answered(), 1);
  EXPECT_EQ(site.runners.executions("truck-1"), 1);
}

TEST(FairnessTest, ACustomerThatAsksForTenTimesMoreDoesNotStarveAnother) {
  FakeSite site(1, Settings(), 7);
  FakeEntry& entry = *site.entries[0];
  for (int it = 0; it < 60'000; ++it) {
    const std::string customer = it % 11 == 0 ? "small" : "large";
    site.timeline.At(site.timeline.now() + microseconds(it * 25), [=, &entry] {
      entry.Arrive(customer, kChecks, kAllowed);
    });
  }
  site.RunFor(kSettled);
  std::map<std::string, int> answered;
  std::map<std::string, int> asked;
  for (const auto& [id, it] : entry.endings()) {
    ++asked[it.facts.customer.text()];
    answered[it.facts.customer.text()] += it.response ? 1 : 0;
  }
  // Less than half of the slots are asked for by the small one.
  EXPECT_GE(answered["small"], asked["small"] * 0.95);
  EXPECT_GE(answered["large"], asked["large"] / 11);
  EXPECT_EQ(site.Audit(), Broken());
}

TEST(PriorityTest, TheLowestPriorityIsShedFirst) {
  RoutingSettings settings;
  settings.maximum_queued = 50;
  FakeSite site(1, settings, 7);
  ServiceRoute low = FakeService(kChecks, 1);
  ServiceRoute high = FakeService("high", 1);
  high.priority = 1;
  site.entries[0]->Publish({low, high});
  for (int it = 0; it < 200; ++it) {
    site.entries[0]->Arrive("customer", kChecks, seconds(1));
  }
  for (int it = 0; it < 40; ++it) {
    site.entries[0]->Arrive("customer", "high", seconds(1));
  }
  site.RunFor(kSettled);
  for (const auto& [id, it] : site.entries[0]->endings()) {
    EXPECT_TRUE(it.response || it.facts.service == ServiceId(kChecks));
  }
  EXPECT_EQ(site.Audit(), Broken());
}

FakeDeed AnyDeed() {
  return *rc::gen::weightedElement<FakeDeed>({{20, FakeDeed::kServe},
                                              {2, FakeDeed::kFailFast},
                                              {2, FakeDeed::kNotConnected},
                                              {1, FakeDeed::kCutBefore},
                                              {1, FakeDeed::kCutDuring},
                                              {1, FakeDeed::kCutAfter},
                                              {1, FakeDeed::kSwap},
                                              {1, FakeDeed::kRepeat},
                                              {1, FakeDeed::kSilent}});
}

// Any order of arrivals at two entries, repeated keys, faults, changed shares,
// drains and vanished callers keeps every promise.
RC_GTEST_PROP(AnyOrderTest, EveryPromiseHolds, ()) {
  FakeSite site(2, Settings(), *rc::gen::inRange<uint64_t>(0, 1000));
  std::vector<FakeDeed> deeds;
  for (int it = 0; it < 40; ++it) {
    deeds.push_back(AnyDeed());
  }
  size_t n = 0;
  site.runners.SetDeeds([&](const Send&) { return deeds[n++ % deeds.size()]; });
  const int steps = *rc::gen::inRange(1, 150);
  for (int it = 0; it < steps; ++it) {
    FakeEntry& entry = *site.entries[*rc::gen::inRange<size_t>(0, 2)];
    const int what = *rc::gen::inRange(0, 20);
    const microseconds allowed(*rc::gen::inRange(500, 300'000));
    if (what < 12) {
      entry.Arrive("customer", kChecks, allowed);
    } else if (what < 16) {
      const int key = *rc::gen::inRange(0, 20);
      entry.Arrive("customer", kDispatches, allowed, std::to_string(key));
    } else if (what == 16) {
      entry.Handle(CallerVanished{RequestId(*rc::gen::inRange(1, 150))});
    } else if (what == 17) {
      ServiceRoute checks = FakeService(kChecks, *rc::gen::inRange(0, 5));
      checks.runners[*rc::gen::inRange<size_t>(0, kRunnerCount)].state =
          RunnerState::kDraining;
      entry.Publish({checks, FakeService(kDispatches, 1)});
    } else if (what == 18) {
      entry.Publish({FakeService(kChecks, kSlots / 2)});
    } else {
      site.RunFor(microseconds(*rc::gen::inRange(0, 50'000)));
    }
  }
  site.RunFor(kSettled);
  for (const std::string& broken : site.Audit()) {
    RC_FAIL(broken);
  }
  for (const auto& entry : site.entries) {
    const auto requests = static_cast<double>(entry->endings().size());
    RC_ASSERT(entry->sends() <= requests * 1.2);
  }
}

}  // namespace
}  // namespace papayadrift::routing
