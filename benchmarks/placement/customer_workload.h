#ifndef PAPAYADRIFT_BENCHMARKS_PLACEMENT_CUSTOMER_WORKLOAD_H_
#define PAPAYADRIFT_BENCHMARKS_PLACEMENT_CUSTOMER_WORKLOAD_H_

#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "base/identifiers.h"
#include "base/resources.h"

namespace papayadrift::placement {

// Actual behaviour of a batch kind, hidden from the scheduler under test.
struct KindProfile {
  KindId kind;
  double cores = 0;
  double memory_mebibytes = 0;
  double run_seconds = 0;
  bool is_checkpointable = false;
  double harm = 0;           // To the service, when it uses a whole worker.
  double declared_part = 1;  // Declared size relative to the actual one.

  friend bool operator==(const KindProfile&, const KindProfile&) = default;
};

// One customer's fleet and mix of kinds, at the specified sizes.
struct CustomerWorkload {
  std::string name;
  Resources worker;
  Resources reserved;  // For the runner on each worker.
  double tail_weight = 1;
  double throughput_weight = 1;
  // Offered batch work as a fraction of the processors' capacity.
  double offered = 1;
  std::vector<KindProfile> kinds;
};

constexpr int kWorkers = 11;
constexpr int kWorkersPerRack = 3;
constexpr double kTargetSlowdown = 2.0;  // Of p99; the service's target.

// Retorno Barril weighs tail latency most, Banverksgrus batch throughput. The
// pairs of kinds and their sizes come from the seed; `spread` is the largest
// error of declared sizes.
CustomerWorkload RetornoBarril(uint64_t seed, double spread);
CustomerWorkload Banverksgrus(uint64_t seed, double spread);

// Returns how much the neighbours add to the service's slowdown, given the
// sum of harm times share of the worker.
double ExtraSlowdown(double harm, double load);

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_BENCHMARKS_PLACEMENT_CUSTOMER_WORKLOAD_H_
