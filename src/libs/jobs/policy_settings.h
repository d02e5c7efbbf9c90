#ifndef PAPAYADRIFT_JOBS_POLICY_SETTINGS_H_
#define PAPAYADRIFT_JOBS_POLICY_SETTINGS_H_

#include <cstdint>

#include "base/instant.h"

// Parameters of task placement and filler pacing; experiments run with other
// values.

namespace papayadrift::jobs {

// Costs of a placement, in shares of a whole runner's processors unless said
// otherwise.
struct PlacementCosts {
  // A rack without the data slows a task more than any load below full does.
  double wrong_rack = 2.0;
  // For each consecutive failed run: a runner that fails what it starts uses up
  // the few attempts of a task.
  double failure = 1.0;
  double avoided = 4.0;
  double slowness = 1.0;
  // A second task of the same step is lost together with the first.
  double same_step = 0.05;
  // Of a tail latency that exceeds its limit by a factor of e; fillers that
  // would cause it are slowed to almost nothing.
  double excess = 3.0;
  // Fillers run slowly beside serving tasks, so serving tasks share few runners
  // and leave the others to fillers: one more runner costs more than any load,
  // and a second image on a runner interferes with more kinds of fillers than a
  // second task does.
  double first_serving = 1.5;
  double other_image = 0.3;
  // Of processors that fillers lose since the serving tasks of a runner don't
  // go together, for a whole runner of them.
  double lost_to_fillers = 8.0;
  // Among runners that are equal in that, prefers the one with less free
  // capacity.
  double serving_share_gain = 0.5;
  // Of fillers that a serving task would slow, for a whole runner of them.
  double slowed_fillers = 0.3;

  friend bool operator==(const PlacementCosts&,
                         const PlacementCosts&) = default;
};

struct PaceSettings {
  // Slack that serving tasks keep: gauges are noisy, and load rises between two
  // reports.
  double min_slack = 1.3;
  // Fillers with a lower weight are not slowed: a typical one would take less
  // than a tenth of slack.
  double harmless_weight = 2.5;
  // Slack that serving tasks keep beside such fillers, which are slowed
  // together.
  double light_min_slack = 0.9;
  // The same beside a task that has been over its target for `short_overrun`.
  // After `long_overrun` the weights are assumed to be wrong. Users allow four
  // seconds.
  double strict_harmless_weight = 0.3;
  milliseconds short_overrun{700};
  milliseconds long_overrun{1500};
  // Paces are quantized in steps, so that small changes of a gauge cause no
  // orders.
  uint32_t step_percent = 10;

  friend bool operator==(const PaceSettings&, const PaceSettings&) = default;
};

// Reservations for large tasks that found no place. They answer long-running
// work that requests nearly all processors, beside hundreds of short tasks a
// second that take each piece of a place as it becomes free.
struct ReservationPolicy {
  bool is_enabled = false;
  // A step that waits for less long may find a place in the next round.
  milliseconds min_wait{200};
  // Share of a runner's processors or memory from which a task counts as large:
  // smaller ones find gaps without a reservation.
  double min_share = 0.1;
  // Largest share of a service's runners that is reserved, but at least one.
  double max_reserved_part = 0.125;
  // Later times rest on too many expected durations.
  milliseconds horizon{10000};
  // Among times that differ by less than this, placement costs decide.
  milliseconds equal_times{500};
  // A short task that found no room elsewhere for `urgent_wait` may end this
  // much after a reservation's time.
  milliseconds urgent_wait{200};
  milliseconds max_delay{500};
  // A reservation that is overdue by this much beyond `max_delay` is given up,
  // and the runner isn't reserved for the step again before `pause` is over.
  milliseconds max_overdue{1500};
  milliseconds pause{3000};
  // Reservations are made and checked with this period, for at most
  // `steps_per_pass` steps: fronts have a tenth of a core.
  milliseconds period{200};
  uint32_t steps_per_pass = 4;

  friend bool operator==(const ReservationPolicy&,
                         const ReservationPolicy&) = default;
};

// The cost of places for large tasks that a short task takes away. It answers
// short tasks that spread over all runners with room for a large one.
struct FragmentationPolicy {
  bool is_enabled = false;
  // Of one place, in shares of a whole runner's processors: more than most
  // differences of load, less than a wrong rack or a failure.
  double lost_place = 0.5;
  // Only places for tasks that are this many times as large count.
  int64_t min_ratio = 4;
  // Sizes are kept for this long after the last step of that size was ready.
  milliseconds retention{30000};

  friend bool operator==(const FragmentationPolicy&,
                         const FragmentationPolicy&) = default;
};

// Turns for work that the order by remaining work leaves behind. They answer
// bursts in which the widest jobs of a queue are last until they are late, and
// results without value that take capacity from work that can still earn.
struct TurnOrderPolicy {
  bool is_enabled = false;
  // Share of the allowed time that is left as slack when a job gets its turn.
  double min_slack = 0.25;
  // A step past its cutoff takes part in a round beside other waiting work
  // after so much time without a start: accepted work is kept.
  milliseconds longest_wait{10000};

  friend bool operator==(const TurnOrderPolicy&,
                         const TurnOrderPolicy&) = default;
};

struct ScarcityPolicy {
  ReservationPolicy reservations;
  FragmentationPolicy fragmentation;
  TurnOrderPolicy turn_order;

  friend bool operator==(const ScarcityPolicy&,
                         const ScarcityPolicy&) = default;
};

struct PolicySettings {
  PlacementCosts placement;
  PaceSettings pacing;
  ScarcityPolicy scarcity;

  friend bool operator==(const PolicySettings&,
                         const PolicySettings&) = default;
};

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_POLICY_SETTINGS_H_
