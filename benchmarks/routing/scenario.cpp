#include "scenario.h"

#include <algorithm>
#include <vector>

#include <pcg_random.hpp>

namespace papayadrift::routing {

namespace {

constexpr int kEntries = 3;
constexpr uint64_t kSeed = 20261204;
constexpr double kServiceMicroseconds = 20'000;
constexpr double kOutlierFactor = 10;
constexpr microseconds kSampling(1'000);
constexpr microseconds kSettling(3'000'000);
constexpr double kMicrosecondsPerSecond = 1e6;

// Returns the rate of requests that keeps all slots busy; network delay counts
// as usage of a slot.
double Capacity(const User& user) {
  // One runner in four is in the availability zone of an entry.
  const double round_trip =
      2 * (0.75 * static_cast<double>(user.zone_delay.count()) + 0.25 * 100);
  return kRunnerCount * kSlots * kMicrosecondsPerSecond /
         (kServiceMicroseconds + round_trip);
}

void SetUp(const Scenario& scenario, FakeCluster& cluster, pcg32& random) {
  cluster.runners.SetZoneDelay(scenario.user.zone_delay);
  for (int it = 0; it < kRunnerCount; ++it) {
    auto& runner = cluster.runners.runner(kChecks + "-" + std::to_string(it));
    runner.mean_microseconds =
        kServiceMicroseconds * (it == 0 ? scenario.slow_runner_factor : 1);
  }
  cluster.runners.SetOutlierFactor([&random, &scenario] {
    const bool is_outlier = random() < scenario.outlier_fraction * pcg32::max();
    return is_outlier ? kOutlierFactor : 1;
  });
  cluster.runners.SetBehavior(
      [&scenario](const Send&) { return scenario.behavior; });
}

// Sums up the used and the available slots over all samples.
struct SlotSampler {
  double used = 0;
  double available = 0;

  void Sample(const FakeCluster& cluster) {
    for (const auto& entry : cluster.entries) {
      for (const auto& [address, counter] : entry->state().counters) {
        if (address.starts_with(kChecks)) {
          used += counter->in_use();
          available += counter->limit();
        }
      }
    }
  }
};

double Quantile(std::vector<double>& values, double part) {
  if (values.empty()) {
    return 0;
  }
  const auto at =
      static_cast<size_t>(part * static_cast<double>(values.size() - 1));
  std::ranges::nth_element(values, values.begin() + static_cast<long>(at));
  return values[at];
}

void Summarize(const FakeCluster& cluster,
               Instant from,
               Instant until,
               Measured& measured) {
  std::vector<double> latencies;
  double asked = 0;
  double refused = 0;
  double refused_immediately = 0;
  for (const auto& entry : cluster.entries) {
    for (const auto& [id, it] : entry->outcomes()) {
      if (it.arrived_at < from || it.arrived_at >= until) {
        continue;
      }
      ++asked;
      const microseconds taken = it.ended_at - it.arrived_at;
      if (it.response && it.response->status == 200) {
        latencies.push_back(static_cast<double>(taken.count()) / 1e3);
      } else if (it.refusal && it.refusal->ran == Ran::kNo) {
        ++refused;
        refused_immediately += taken.count() == 0 ? 1 : 0;
      }
    }
  }
  const double seconds_measured =
      static_cast<double>((until - from).count()) / kMicrosecondsPerSecond;
  const auto answered = static_cast<double>(latencies.size());
  measured.answered_per_second = answered / seconds_measured;
  measured.refused_fraction = 1 - answered / asked;
  measured.immediate_refusal_fraction =
      refused > 0 ? refused_immediately / refused : 1;
  measured.p50_milliseconds = Quantile(latencies, 0.5);
  measured.p99_milliseconds = Quantile(latencies, 0.99);
  measured.p999_milliseconds = Quantile(latencies, 0.999);
}

}  // namespace

Measured Run(const Scenario& scenario) {
  FakeCluster cluster(kEntries, scenario.settings, kSeed);
  pcg32 random(kSeed);
  SetUp(scenario, cluster, random);
  const Instant start = cluster.clock.now();
  const Instant from = start + scenario.length / 4;
  const Instant until = start + scenario.length;
  cluster.ScheduleArrivals(kChecks, Capacity(scenario.user) * scenario.load,
                           scenario.length, scenario.time_allowed);
  SlotSampler slots;
  for (Instant at = from; at < until; at += kSampling) {
    cluster.clock.At(at, [&] { slots.Sample(cluster); });
  }
  cluster.RunFor(scenario.length + kSettling);
  Measured measured;
  Summarize(cluster, from, until, measured);
  measured.slots_used_fraction = slots.used / slots.available;
  measured.sends_per_request = cluster.sends_per_request();
  measured.violation_count = cluster.FindViolations().size();
  return measured;
}

}  // namespace papayadrift::routing
