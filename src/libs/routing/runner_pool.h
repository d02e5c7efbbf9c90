#ifndef PAPAYADRIFT_ROUTING_RUNNER_POOL_H_
#define PAPAYADRIFT_ROUTING_RUNNER_POOL_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include <pcg_random.hpp>

#include "base/instant.h"
#include "routing/routing_settings.h"
#include "routing/routing_state.h"

namespace papayadrift::routing {

// What an entry has learned of one runner.
struct Runner {
  RunnerRoute route;
  std::shared_ptr<SlotCounter> slots;
  Instant serving_since;    // Start of its slow start.
  Instant ejected_until;    // Not chosen before.
  double mean_latency = 0;  // Recent, in microseconds; 0 when unknown.
  int32_t failures_in_a_row = 0;
  int32_t ejections_in_a_row = 0;
  bool is_on_probation = false;  // Back from an ejection, not yet trusted.

  friend bool operator==(const Runner&, const Runner&) = default;
};

using RunnerPointer = std::shared_ptr<Runner>;

// The runners of one service: chooses among them and learns from their answers.
class RunnerPool {
 public:
  RunnerPool(RunnerSettings settings, ZoneId zone, uint64_t random_seed);

  // Takes over the runners of a new table. What is known of those that stay is
  // kept.
  void Update(const std::vector<RunnerRoute>& routes,
              const SlotCounters& counters,
              Instant now);

  // Takes a slot at the best of two runners drawn at random that have one and
  // are not in `excluded`. Returns null when there is none.
  RunnerPointer AcquireSlot(std::span<const RunnerPointer> excluded,
                            Instant now);

  void RecordSuccess(Runner& runner, microseconds latency, Instant now);

  // Ejects the runner for a while when it keeps failing while most others
  // don't, and not too many are ejected already.
  void RecordFailure(Runner& runner, Instant now);

  // Returns the sum of the slots that this entry may use.
  int32_t usable_slots() const;
  size_t serving_count() const;
  size_t ejected_count(Instant now) const;
  std::span<const RunnerPointer> runners() const { return runners_; }

 private:
  bool IsEligible(const RunnerPointer& runner,
                  std::span<const RunnerPointer> excluded,
                  Instant now) const;
  void CollectEligible(std::span<const RunnerPointer> excluded, Instant now);
  Runner* Draw(Instant now);
  double Score(const Runner& runner, double latency, Instant now) const;
  Runner* Better(Runner* left, Runner* right, Instant now) const;
  bool IsOutlier(const Runner& runner) const;
  void ReadmitIfAllAreEjected(Instant now);
  bool MayEjectOneMore(Instant now) const;

  RunnerSettings settings_;
  ZoneId zone_;
  pcg32 random_;
  std::vector<RunnerPointer> runners_;
  std::vector<Runner*> eligible_;  // Of the choice at hand.
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_RUNNER_POOL_H_
