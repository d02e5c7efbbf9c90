#include "routing/runner_pool.h"

#include <map>

#include <gtest/gtest.h>

#include "fake_cluster.h"

namespace papayadrift::routing {
namespace {

class RunnerPoolTest : public testing::Test {
 protected:
  void Publish(const ServiceRoute& route) {
    state_ = NextRoutingState(state_, RoutingTable({route}));
    pool_.Update(route.runners, state_.counters, now_);
  }

  // Returns how often each runner is selected when slots are released
  // immediately.
  std::map<std::string, int> Choose(int times) {
    std::map<std::string, int> chosen;
    for (int it = 0; it < times; ++it) {
      const RunnerPointer runner = pool_.AcquireSlot({}, now_);
      ++chosen[runner->route.address];
      runner->slots->Release();
    }
    return chosen;
  }

  void Fail(const RunnerPointer& runner, int times) {
    for (int it = 0; it < times; ++it) {
      pool_.RecordFailure(*runner, now_);
    }
  }

  Instant now_{seconds(100)};
  RoutingState state_;
  RunnerPool pool_{RunnerSettings(), ZoneId("zone-0"), 7};
};

TEST_F(RunnerPoolTest, ANewRunnerStartsSlowly) {
  ServiceRoute route = FakeService(kChecks, kSlots);
  const RunnerRoute added = route.runners.back();
  route.runners.pop_back();
  Publish(route);
  route.runners.push_back(added);
  Publish(route);
  EXPECT_LT(Choose(1100)[added.address], 50);
  now_ += seconds(5);
  EXPECT_GT(Choose(1100)[added.address], 50);
}

TEST_F(RunnerPoolTest, TheOwnZoneIsPreferred) {
  Publish(FakeService(kChecks, kSlots));
  const auto chosen = Choose(1100);
  EXPECT_GT(chosen.at(kChecks + "-0"), 2 * chosen.at(kChecks + "-1"));
}

TEST_F(RunnerPoolTest, OutliersAreEjectedLongerEachTimeButNeverMostOfThem) {
  Publish(FakeService(kChecks, kSlots));
  for (const RunnerPointer& runner : pool_.runners()) {
    Fail(runner, 3);
  }
  EXPECT_LE(pool_.ejected_count(now_), kRunnerCount / 2);
  const RunnerPointer& first = pool_.runners().front();
  EXPECT_EQ(first->ejected_until, now_ + seconds(1));
  now_ += seconds(30);
  for (const RunnerPointer& runner : pool_.runners()) {
    pool_.RecordSuccess(*runner, milliseconds(1), now_);
  }
  Fail(first, 3);
  EXPECT_EQ(first->ejected_until, now_ + seconds(2));
}

TEST_F(RunnerPoolTest, ARunnerBackFromAnEjectionGetsOneRequestAtFirst) {
  ServiceRoute route = FakeService(kChecks, kSlots);
  route.runners.resize(2);
  Publish(route);
  const RunnerPointer failing = pool_.runners()[0];
  Fail(failing, 3);
  now_ += seconds(2);
  int taken = 0;
  while (const RunnerPointer runner = pool_.AcquireSlot({}, now_)) {
    taken += runner == failing ? 1 : 0;
  }
  EXPECT_EQ(taken, 1);
}

TEST_F(RunnerPoolTest, TheLastServingRunnersAreReadmitted) {
  ServiceRoute route = FakeService(kChecks, kSlots);
  route.runners.resize(2);
  Publish(route);
  Fail(pool_.runners()[0], 3);
  EXPECT_EQ(pool_.ejected_count(now_), 1);
  route.runners[1].state = RunnerState::kDraining;
  Publish(route);
  EXPECT_NE(pool_.AcquireSlot({}, now_), nullptr);
}

}  // namespace
}  // namespace papayadrift::routing
