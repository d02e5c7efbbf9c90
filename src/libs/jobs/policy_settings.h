#ifndef PAPAYADRIFT_JOBS_POLICY_SETTINGS_H_
#define PAPAYADRIFT_JOBS_POLICY_SETTINGS_H_

#include <cstdint>

#include "base/instant.h"

// What a leader weighs when it places tasks and paces fillers; experiments play
// other values.

namespace papayadrift::jobs {

// Costs of a placement, in shares of a whole runner's processors unless said
// otherwise.
struct PlacementCosts {
  // A rack without the data makes a task run longer than any load below full
  // does.
  double wrong_rack = 2.0;
  // Of each failed run in a row: a runner that fails what it starts uses up the
  // few attempts of a task.
  double failure = 1.0;
  double avoided = 4.0;
  double slowness = 1.0;
  // A second task of the same step is lost together with the first.
  double same_step = 0.05;
  // Of a tail that passes its limit by a factor of e; fillers that would cause
  // it are paced down to nothing much.
  double excess = 3.0;
  // Fillers get on badly beside serving tasks, so these share few runners and
  // leave the others to them: one more costs more than any load, and a second
  // image on a runner disturbs more kinds of fillers than a second task does.
  double first_serving = 1.5;
  double other_image = 0.3;
  // Between runners alike in that, the one with less room left over.
  double serving_share_gain = 0.5;
  // Fillers that a serving task would slow, for a whole runner of them.
  double slowed_fillers = 0.3;

  friend bool operator==(const PlacementCosts&,
                         const PlacementCosts&) = default;
};

struct PaceSettings {
  // Slack that serving tasks keep: the gauge is rough, and waves rise between
  // two reports.
  double min_slack = 1.3;
  // Fillers of less weight are left alone: a usual one would take less than a
  // tenth of slack.
  double harmless_weight = 1.5;
  // The same beside a task that has been over its target for a while, and the
  // time after which the weights are taken to be wrong. Users allow four
  // seconds.
  double strict_harmless_weight = 0.3;
  milliseconds short_overrun{700};
  milliseconds long_overrun{1500};
  // Paces are given in steps, so that small changes of the gauge cost no
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
