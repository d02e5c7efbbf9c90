#include <gtest/gtest.h>

#include <array>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "fixture.h"
#include "placement/declared_usage.h"
#include "placement/learned_interference.h"

namespace papayadrift::placement {

namespace {

constexpr Resources kWorker = {8000, 8192, 0};
constexpr Resources kTask = {2000, 1024, 0};

// Batch work on a whole worker adds 1 to a service's pressure at full load.
class FixedInterference : public InterferenceModel {
 public:
  void Introduce(KindNumber /*number*/, const KindId& /*kind*/) override {}
  void Observe(const ServiceId& /*service*/,
               double /*load*/,
               std::span<const KindLoad> /*neighbours*/,
               double /*pressure*/) override {}
  Pressure Expect(const ServiceId& /*service*/,
                  double load,
                  std::span<const KindLoad> neighbours) const override {
    double share = 0;
    for (const KindLoad& it : neighbours) {
      share += it.share;
    }
    return {0.4 + load * share, 0};
  }
};

class InterferenceLimitTest : public testing::Test {
 protected:
  InterferenceLimitTest()
      : scheduler_({},
                   std::make_unique<DeclaredUsage>(),
                   std::make_unique<FixedInterference>()) {
    const ServicePolicy service = {ServiceId("service"), CustomerId("customer"),
                                   milliseconds(20)};
    const CustomerPolicy customer = {CustomerId("customer"), 4.0, 1.0};
    Handle(PolicyChanged{{{}, {service}, {customer}, {}}});
    AddWorker("loaded");
    Handle(LatencyReported{WorkerId("loaded"), ServiceId("service"),
                           milliseconds(2), milliseconds(8), 1000,
                           now_ - seconds(1), now_});
  }

  std::vector<Action> Handle(const Event& event) {
    return scheduler_.Handle(now_, event);
  }

  std::vector<Action> AddWorker(const std::string& worker) {
    return Handle(WorkerUp{.worker = WorkerId(worker),
                           .incarnation = Incarnation(1),
                           .zone = ZoneId("zone"),
                           .rack = RackId("rack"),
                           .capacity = kWorker,
                           .runners = {{ServiceId("service"), {}}}});
  }

  std::vector<Action> Pass(microseconds step) {
    now_ += step;
    return Handle(Tick());
  }

  Instant now_{seconds(10)};
  Scheduler scheduler_;
};

TEST_F(InterferenceLimitTest, TaskWaitsForWorkerWithLessInterference) {
  EXPECT_TRUE(Only<Claim>(Handle(SomeJob("job", 1, kTask))).empty());
  EXPECT_EQ(ToText(scheduler_.Explain({JobId("job"), 0})),
            "It waits because on all workers with free capacity the harm "
            "to services would exceed the value of its work to their "
            "customers.");
  AddWorker("idle");
  const auto claims = Only<Claim>(Pass(seconds(1)));
  ASSERT_EQ(claims.size(), 1U);
  EXPECT_EQ(claims[0].worker, WorkerId("idle"));
}

TEST_F(InterferenceLimitTest, ToleratedInterferenceGrowsWithWaitingTime) {
  EXPECT_TRUE(Only<Claim>(Handle(SomeJob("job", 1, kTask))).empty());
  EXPECT_TRUE(Only<Claim>(Pass(seconds(60))).empty());
  EXPECT_EQ(Only<Claim>(Pass(seconds(600))).size(), 1U);
}

TEST_F(InterferenceLimitTest, UrgentTaskIgnoresInterference) {
  JobSubmitted job = SomeJob("job", 1, kTask);
  job.is_urgent = true;
  EXPECT_EQ(Only<Claim>(Handle(job)).size(), 1U);
}

// Slows a service more than in proportion to its load, as queueing does.
double PressureWithNoisyKind(double load, double share) {
  return 0.5 + 0.1 * load * load + 3 * share * (0.1 + 0.55 * load * load);
}

// Harmful kinds are placed only next to lightly loaded services, so
// measurements with both high load and harmful neighbours are missing. A linear
// fit in the load would underestimate their harm at full load.
TEST(LearnedInterferenceTest, PredictsHarmAtFullLoadFromLowLoads) {
  constexpr std::array<double, 4> kLoads = {0.14, 0.29, 0.59, 1.0};
  const ServiceId service("service");
  LearnedInterference model;
  for (int i = 0; i < 100; ++i) {
    for (const double load : kLoads) {
      const KindLoads noisy = {{KindNumber{0}, load < 1 ? 0.05 * (i % 7) : 0}};
      model.Observe(service, load, noisy,
                    PressureWithNoisyKind(load, noisy[0].share));
    }
  }
  const KindLoads noisy = {{KindNumber{0}, 0.2}};
  const double harm =
      PressureWithNoisyKind(1, 0.2) - PressureWithNoisyKind(1, 0);
  constexpr double kMostError = 0.1;
  EXPECT_NEAR(
      model.Expect(service, 1, noisy).mean - model.Expect(service, 1, {}).mean,
      harm, kMostError * harm);
}

}  // namespace

}  // namespace papayadrift::placement
