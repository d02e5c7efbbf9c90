#include "scenario.h"

#include <algorithm>
#include <vector>

#include <pcg_random.hpp>

namespace papayadrift::routing {

namespace {

constexpr int kEntries = 3;
constexpr uint64_t kSeed = 20261204;
constexpr double kServiceMicroseconds = 20'000;
constexpr double kHangFactor = 10;
constexpr microseconds kSampling(1'000);
constexpr microseconds kSettling(3'000'000);
constexpr double kMicrosecondsPerSecond = 1e6;

// Requests a second that keep all slots busy; the way over the network counts
// as use of a slot.
double Capacity(const User& user) {
  // One runner in four stands in the zone of an entry.
  const double round_trip =
      2 * (0.75 * static_cast<double>(user.zone_delay.count()) + 0.25 * 100);
  return kRunnerCount * kSlots * kMicrosecondsPerSecond /
         (kServiceMicroseconds + round_trip);
}

void SetUp(const Scenario& scenario, FakeSite& site, pcg32& random) {
  site.runners.SetZoneDelay(scenario.user.zone_delay);
  for (int it = 0; it < kRunnerCount; ++it) {
    auto& runner = site.runners.runner(kChecks + "-" + std::to_string(it));
    runner.mean_microseconds =
        kServiceMicroseconds * (it == 0 ? scenario.slow_runner : 1);
  }
  site.runners.SetHangs([&random, &scenario] {
    const bool hangs = random() < scenario.hang_fraction * pcg32::max();
    return hangs ? kHangFactor : 1;
  });
  site.runners.SetDeeds([&scenario](const Send&) { return scenario.deed; });
}

// Adds up the slots in use and those there are, at each sampling.
struct SlotSampler {
  double used = 0;
  double available = 0;

  void Sample(const FakeSite& site) {
    for (const auto& entry : site.entries) {
      for (const auto& [address, account] : entry->state().accounts) {
        if (address.starts_with(kChecks)) {
          used += account->in_use();
          available += account->share();
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

void Summarize(const FakeSite& site,
               Instant from,
               Instant until,
               Measured& measured) {
  std::vector<double> latencies;
  double asked = 0;
  double refused = 0;
  double at_once = 0;
  for (const auto& entry : site.entries) {
    for (const auto& [id, it] : entry->endings()) {
      if (it.arrived_at < from || it.arrived_at >= until) {
        continue;
      }
      ++asked;
      const microseconds taken = it.ended_at - it.arrived_at;
      if (it.response && it.response->status == 200) {
        latencies.push_back(static_cast<double>(taken.count()) / 1e3);
      } else if (it.refusal && it.refusal->ran == Ran::kNo) {
        ++refused;
        at_once += taken.count() == 0 ? 1 : 0;
      }
    }
  }
  const double seconds_measured =
      static_cast<double>((until - from).count()) / kMicrosecondsPerSecond;
  const auto answered = static_cast<double>(latencies.size());
  measured.answered_per_second = answered / seconds_measured;
  measured.refused_fraction = 1 - answered / asked;
  measured.at_once_fraction = refused > 0 ? at_once / refused : 1;
  measured.p50_milliseconds = Quantile(latencies, 0.5);
  measured.p99_milliseconds = Quantile(latencies, 0.99);
  measured.p999_milliseconds = Quantile(latencies, 0.999);
}

}  // namespace

Measured Run(const Scenario& scenario) {
  FakeSite site(kEntries, scenario.settings, kSeed);
  pcg32 random(kSeed);
  SetUp(scenario, site, random);
  const Instant start = site.timeline.now();
  const Instant from = start + scenario.length / 4;
  const Instant until = start + scenario.length;
  site.Burst(kChecks, Capacity(scenario.user) * scenario.load, scenario.length,
             scenario.time_allowed);
  SlotSampler slots;
  for (Instant at = from; at < until; at += kSampling) {
    site.timeline.At(at, [&] { slots.Sample(site); });
  }
  site.RunFor(scenario.length + kSettling);
  Measured measured;
  Summarize(site, from, until, measured);
  measured.slots_used_fraction = slots.used / slots.available;
  measured.sends_per_request = site.sends_per_request();
  measured.broken_promises = site.Audit().size();
  return measured;
}

}  // namespace papayadrift::routing
