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

// Statistics of an entry about one runner.
struct Runner {
  RunnerRoute route;
  std::shared_ptr<SlotCounter> slots;
  Instant serving_since;    // Start of the slow start.
  Instant ejected_until;    // The runner is not selected before this time.
  double mean_latency = 0;  // Moving average in microseconds; 0 if unknown.
  int32_t failures_in_a_row = 0;
  int32_t ejections_in_a_row = 0;
  // Readmitted after an ejection; one request at a time until one succeeds.
  bool is_on_probation = false;

  friend bool operator==(const Runner&, const Runner&) = default;
};

using RunnerPointer = std::shared_ptr<Runner>;

// The runners of one service: selects among them and tracks their responses.
class RunnerPool {
 public:
  RunnerPool(RunnerSettings settings, ZoneId zone, uint64_t random_seed);

  // Applies the runners of a new table. The statistics of remaining runners are
  // kept.
  void Update(const std::vector<RunnerRoute>& routes,
              const SlotCounters& counters,
              Instant now);

  // Acquires a slot at the better of two randomly selected runners that have a
  // free slot and are not in `excluded`. Returns null if there is none.
  RunnerPointer AcquireSlot(std::span<const RunnerPointer> excluded,
                            Instant now);

  void RecordSuccess(Runner& runner, microseconds latency, Instant now);

  // Temporarily ejects the runner if it fails repeatedly while most others
  // don't, and the limit of ejected runners is not reached.
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
  std::vector<Runner*> eligible_;  // Candidates of the current selection.
};

}  // namespace papayadrift::routing

#endif  // PAPAYADRIFT_ROUTING_RUNNER_POOL_H_
