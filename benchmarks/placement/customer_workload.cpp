#include "customer_workload.h"

#include "dice.h"

namespace papayadrift::placement {

namespace {

constexpr int kKinds = 6;

// Kinds usually declare more than they use; with a large spread a third of them
// declares far less.
double DeclaredPart(pcg64& random, int kind, double spread) {
  if (spread <= 3) {
    return Uniform(random, 1.2, spread);
  }
  switch (kind % 3) {
    case 0:
      return LogUniform(random, spread / 2, spread);
    case 1:
      return LogUniform(random, 1 / spread, 2 / spread);
    default:
      return Uniform(random, 0.8, 1.5);
  }
}

std::vector<KindProfile> Kinds(uint64_t seed, double scale, double spread) {
  pcg64 random(seed);
  std::vector<KindProfile> kinds;
  for (int i = 0; i < kKinds; ++i) {
    KindProfile kind;
    kind.kind = KindId("kind-" + std::to_string(i));
    kind.cores = scale * LogUniform(random, 0.5, 2.5);
    kind.memory_mebibytes = scale * LogUniform(random, 500, 4000);
    kind.run_seconds = LogUniform(random, 60, 480);
    kind.is_checkpointable = i % 2 == 0;
    // Every second kind does little harm, so that kinds differ.
    kind.harm = i % 2 == 0 ? LogUniform(random, 0.05, 0.4)
                           : LogUniform(random, 1.5, 5.0);
    kind.declared_part = DeclaredPart(random, i, spread);
    kinds.push_back(kind);
  }
  return kinds;
}

}  // namespace

CustomerWorkload RetornoBarril(uint64_t seed, double spread) {
  return {.name = "retorno_barril",
          .worker = {16'000, 60'000, 0},
          .reserved = {4'000, 8'000, 0},
          .tail_weight = 4,
          .throughput_weight = 1,
          .offered = 0.6,
          .kinds = Kinds(seed, 1.0, spread)};
}

CustomerWorkload Banverksgrus(uint64_t seed, double spread) {
  return {.name = "banverksgrus",
          .worker = {32'000, 125'000, 0},
          .reserved = {6'000, 16'000, 0},
          .tail_weight = 1,
          .throughput_weight = 4,
          .offered = 1.1,
          .kinds = Kinds(seed + 1'000, 2.0, spread)};
}

double ExtraSlowdown(double harm, double load) {
  const double linear = harm * (0.2 + 1.2 * load * load);
  return linear + 0.3 * linear * linear;
}

}  // namespace papayadrift::placement
