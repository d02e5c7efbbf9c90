#ifndef PAPAYADRIFT_BENCHMARKS_ROUTING_SCENARIO_H_
#define PAPAYADRIFT_BENCHMARKS_ROUTING_SCENARIO_H_

#include <cstdint>
#include <string>

#include "base/instant.h"
#include "fake_cluster.h"

namespace papayadrift::routing {

// Properties of a deployment that affect the routing of its requests.
struct User {
  std::string name;
  microseconds zone_delay{0};  // One-way delay between availability zones.
};

// Load on the service of one deployment: 11 runners of 8 slots behind three
// entries.
struct Scenario {
  User user;
  RoutingSettings settings;
  double load = 1;  // Relative to the capacity of the slots.
  microseconds length{4'000'000};
  microseconds time_allowed{250'000};
  // Fraction of requests that take much longer than usual.
  double outlier_fraction = 0;
  double slow_runner_factor = 1;  // Factor on the service times of one runner.
  FakeBehavior behavior = FakeBehavior::kServe;
};

// Results after a warm-up of a quarter of the duration, as seen by callers and
// runners.
struct Measured {
  double answered_per_second = 0;
  // Fraction of requests without an answer, for any reason.
  double refused_fraction = 0;
  // Fraction of refusals that say "not run".
  double immediate_refusal_fraction = 1;
  double slots_used_fraction = 0;
  double sends_per_request = 0;
  double p50_milliseconds = 0;  // Latency quantiles of answered requests.
  double p99_milliseconds = 0;
  double p999_milliseconds = 0;
  size_t violation_count = 0;
};

Measured Run(const Scenario& scenario);

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_BENCHMARKS_ROUTING_SCENARIO_H_
