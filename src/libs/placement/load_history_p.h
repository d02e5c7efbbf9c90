#ifndef PAPAYADRIFT_PLACEMENT_LOAD_HISTORY_P_H_
#define PAPAYADRIFT_PLACEMENT_LOAD_HISTORY_P_H_

#include <deque>
#include <optional>
#include <vector>

#include "base/instant.h"
#include "placement/interference_model.h"
#include "placement/kind.h"

namespace papayadrift::placement {

// Recent loads of a worker, used to relate late measurements to the neighbours
// at that time. Bounded: the oldest entries are dropped.
class LoadHistory {
 public:
  // Records the worker's loads from `at` on.
  void Record(Instant at, KindLoads loads);

  const KindLoads& current() const;
  // Returns the mean loads from `from` to `until`, or nullopt if that period is
  // not covered.
  std::optional<KindLoads> Between(Instant from, Instant until) const;

 private:
  // KindLoad in half the space, since each worker stores many.
  struct PackedLoad {
    KindNumber kind{};
    float share = 0;
  };
  struct Entry {
    Instant since;
    std::vector<PackedLoad> loads;
  };

  static std::vector<PackedLoad> Pack(const KindLoads& loads);
  static void AddWeighted(KindLoads& sum, const Entry& entry, double weight);

  std::deque<Entry> entries_;  // Oldest first.
  KindLoads current_;
};

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_LOAD_HISTORY_P_H_
