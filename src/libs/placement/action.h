#ifndef PAPAYADRIFT_PLACEMENT_ACTION_H_
#define PAPAYADRIFT_PLACEMENT_ACTION_H_

// What a Scheduler asks its driver to do.

#include <variant>

#include "base/identifiers.h"
#include "base/refusal.h"
#include "base/resources.h"
#include "placement/decision.h"

namespace papayadrift::placement {

// Propose that the attempt runs on the worker. Answer with ClaimAccepted or
// ClaimRejected; until then it counts against the worker.
struct Claim {
  TaskId task;
  Attempt attempt;
  WorkerId worker;
  Incarnation incarnation;
  Resources grant;
  CheckpointId resumes;  // Empty for a start from the beginning.
  PlacementReason reason = PlacementReason::kLeastCost;

  friend bool operator==(const Claim&, const Claim&) = default;
};

// Have the worker enforce another grant. Answer with GrantConfirmed
// or GrantRefused.
struct ChangeGrant {
  TaskId task;
  Attempt attempt;
  WorkerId worker;
  Resources grant;
  GrantReason reason = GrantReason::kUsesLess;

  friend bool operator==(const ChangeGrant&, const ChangeGrant&) = default;
};

// Have the worker checkpoint the attempt, if it can, and stop it. Answer with
// TaskEnded.
struct Evict {
  TaskId task;
  Attempt attempt;
  WorkerId worker;
  EvictionReason reason = EvictionReason::kServiceAboveTarget;

  friend bool operator==(const Evict&, const Evict&) = default;
};

// The job can't be run. Answer with JobRefused.
struct RefuseJob {
  JobId job;
  RefusalReason reason = RefusalReason::kJobFitsNowhere;

  friend bool operator==(const RefuseJob&, const RefuseJob&) = default;
};

// The worker fails what others run: it gets only probes from now on.
struct Quarantine {
  WorkerId worker;
  Incarnation incarnation;

  friend bool operator==(const Quarantine&, const Quarantine&) = default;
};

// The worker passed its probes.
struct Release {
  WorkerId worker;
  Incarnation incarnation;

  friend bool operator==(const Release&, const Release&) = default;
};

using Action =
    std::variant<Claim, ChangeGrant, Evict, RefuseJob, Quarantine, Release>;

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_ACTION_H_
