#ifndef PAPAYADRIFT_BENCHMARKS_ROUTING_SCENARIO_H_
#define PAPAYADRIFT_BENCHMARKS_ROUTING_SCENARIO_H_

#include <cstdint>
#include <string>

#include "base/instant.h"
#include "fake_cluster.h"

namespace papayadrift::routing {

// One of the users, as far as the routing of its requests depends on it.
struct User {
  std::string name;
  microseconds zone_delay{0};  // One way between availability zones.
};

// Load on the service of one user: 11 runners of 8 slots behind three entries.
struct Scenario {
  User user;
  RoutingSettings settings;
  double load = 1;  // As a part of what the slots can carry.
  microseconds length{4'000'000};
  microseconds time_allowed{250'000};
  double outlier_fraction = 0;    // Requests that take much longer than usual.
  double slow_runner_factor = 1;  // Factor on the service times of one runner.
  FakeBehavior behavior = FakeBehavior::kServe;
};

// What callers and runners saw after a warm-up of a quarter of the time.
struct Measured {
  double answered_per_second = 0;
  double refused_fraction = 0;            // Not answered, for any reason.
  double immediate_refusal_fraction = 1;  // Of the refusals that say "not run".
  double slots_used_fraction = 0;
  double sends_per_request = 0;
  double p50_milliseconds = 0;  // Of answers.
  double p99_milliseconds = 0;
  double p999_milliseconds = 0;
  size_t violation_count = 0;
};

Measured Run(const Scenario& scenario);

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_BENCHMARKS_ROUTING_SCENARIO_H_
