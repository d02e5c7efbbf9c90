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

struct PolicySettings {
  PlacementCosts placement;
  PaceSettings pacing;

  friend bool operator==(const PolicySettings&,
                         const PolicySettings&) = default;
};

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_POLICY_SETTINGS_H_
