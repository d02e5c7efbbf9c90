#ifndef PAPAYADRIFT_BENCHMARKS_PLACEMENT_CUSTOMER_WORKLOAD_H_
#define PAPAYADRIFT_BENCHMARKS_PLACEMENT_CUSTOMER_WORKLOAD_H_

#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "base/identifiers.h"
#include "base/resources.h"

namespace papayadrift::placement {

// What a batch kind really does; the scheduler under test never sees it.
struct KindProfile {
  KindId kind;
  double cores = 0;
  double memory_mebibytes = 0;
  double run_seconds = 0;
  bool is_checkpointable = false;
  double harm = 0;           // To the service, for a whole worker of it.
  double declared_part = 1;  // Declared size over the true one.

  friend bool operator==(const KindProfile&, const KindProfile&) = default;
};

// One customer's fleet and mix, at the sizes that the brief states.
struct CustomerWorkload {
  std::string name;
  Resources worker;
  Resources reserved;  // For the runner on each worker.
  double tail_weight = 1;
  double throughput_weight = 1;
  // Batch work offered, as a part of what the processors could do.
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
