#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "fake_cluster.h"

namespace papayadrift::routing {
namespace {

constexpr int kEntries = 2;
constexpr double kMicrosecondsPerSecond = 1e6;
// Required goodput under overload, relative to that at saturation.
constexpr double kMinimumGoodput = 0.95;
// Required utilization of the slots in the measured second half of the load, 20
// service times. The network delay is a tenth of the shortest service time.
constexpr double kMinimumSlotsUsed = 0.85;

// Load in relation to the capacity of the slots.
struct SlowLoad {
  milliseconds service_time;
  double factor;  // Multiple of the capacity of the slots.
};

// Returns how many of the requests that arrived in the second half of the load
// were answered in time.
int AnsweredInTime(const SlowLoad& load, std::vector<std::string>& violations) {
  const microseconds service_time = load.service_time;
  const microseconds length = 40 * service_time;
  FakeCluster cluster(kEntries, RoutingSettings(), 7);
  for (int it = 0; it < kRunnerCount; ++it) {
    cluster.runners.runner(kChecks + "-" + std::to_string(it))
        .mean_microseconds = static_cast<double>(service_time.count());
  }
  const double capacity = kRunnerCount * kSlots * kMicrosecondsPerSecond /
                          static_cast<double>(service_time.count());
  const Instant half = cluster.clock.now() + length / 2;
  cluster.ScheduleArrivals(kChecks, capacity * load.factor, length,
                           4 * service_time);
  cluster.RunFor(length + 20 * service_time + seconds(5));
  violations = cluster.FindViolations();
  int answered = 0;
  for (const auto& entry : cluster.entries) {
    for (const auto& [id, it] : entry->outcomes()) {
      answered += it.arrived_at >= half && it.response ? 1 : 0;
    }
  }
  return answered;
}

class SlowServiceTest : public testing::TestWithParam<milliseconds> {};

TEST_P(SlowServiceTest, OverloadCostsNoGoodput) {
  std::vector<std::string> violations;
  const int saturated = AnsweredInTime({GetParam(), 1.2}, violations);
  EXPECT_EQ(violations, std::vector<std::string>());
  EXPECT_GE(saturated, kMinimumSlotsUsed * kRunnerCount * kSlots * 20);
  for (const double factor : {2.0, 10.0}) {
    const int answered = AnsweredInTime({GetParam(), factor}, violations);
    EXPECT_EQ(violations, std::vector<std::string>());
    EXPECT_GE(answered, kMinimumGoodput * saturated) << factor;
  }
}

INSTANTIATE_TEST_SUITE_P(All,
                         SlowServiceTest,
                         testing::Values(milliseconds(10),
                                         milliseconds(100),
                                         milliseconds(1'000),
                                         milliseconds(5'000),
                                         milliseconds(10'000)));

}  // namespace
}  // namespace papayadrift::routing
