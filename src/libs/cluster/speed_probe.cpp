#include "cluster/speed_probe.h"

#include <algorithm>

#include "base/hash.h"

namespace papayadrift::cluster {
namespace {

// Small enough for the memory of the smallest VM and for the cache of a
// processor; hashed several times.
constexpr size_t kDataBytes = 65536;
constexpr int kRepeats = 16;

}  // namespace

SpeedProbe::SpeedProbe(const Clock& clock)
    : clock_(clock), data_(kDataBytes, 'x') {}

uint64_t SpeedProbe::Measure() {
  const Instant started_at = clock_.Now();
  for (int i = 0; i < kRepeats; ++i) {
    seed_ = StableHash(data_, seed_);
  }
  const microseconds taken =
      std::max(microseconds(1), clock_.Now() - started_at);
  constexpr uint64_t kMicrosecondsPerMillisecond = 1000;
  return std::max<uint64_t>(1, kDataBytes * kRepeats *
                                   kMicrosecondsPerMillisecond /
                                   static_cast<uint64_t>(taken.count()));
}

}  // namespace papayadrift::cluster
