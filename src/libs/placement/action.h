#ifndef PAPAYADRIFT_PLACEMENT_ACTION_H_
#define PAPAYADRIFT_PLACEMENT_ACTION_H_

// Actions that a Scheduler asks its driver to carry out.

#include <variant>

#include "base/identifiers.h"
#include "base/refusal.h"
#include "base/resources.h"
#include "placement/decision.h"

namespace papayadrift::placement {

// Proposes to run the attempt on the worker. The driver answers with
// ClaimAccepted or ClaimRejected; until then the grant counts against the
// worker's capacity.
struct Claim {
  TaskId task;
  Attempt attempt;
  WorkerId worker;
  Incarnation incarnation;
  Resources grant;
  CheckpointId resumes;  // Empty for a start without a checkpoint.
  PlacementReason reason = PlacementReason::kLeastCost;

  friend bool operator==(const Claim&, const Claim&) = default;
};

// Makes the worker enforce another grant. The driver answers with
// GrantConfirmed or GrantRefused.
struct ChangeGrant {
  TaskId task;
  Attempt attempt;
  WorkerId worker;
  Resources grant;
  GrantReason reason = GrantReason::kUsesLess;

  friend bool operator==(const ChangeGrant&, const ChangeGrant&) = default;
};

// Makes the worker checkpoint the attempt, if possible, and stop it. The driver
// answers with TaskEnded.
struct Evict {
  TaskId task;
  Attempt attempt;
  WorkerId worker;
  EvictionReason reason = EvictionReason::kServiceAboveTarget;

  friend bool operator==(const Evict&, const Evict&) = default;
};

// Rejects a job that cannot run. The driver answers with JobRefused.
struct RefuseJob {
  JobId job;
  RefusalReason reason = RefusalReason::kJobFitsNowhere;

  friend bool operator==(const RefuseJob&, const RefuseJob&) = default;
};

// Quarantines a worker that fails tasks which succeed elsewhere. It gets only
// probe tasks until it is released.
struct Quarantine {
  WorkerId worker;
  Incarnation incarnation;

  friend bool operator==(const Quarantine&, const Quarantine&) = default;
};

// Ends the quarantine of a worker that passed its probes.
struct Release {
  WorkerId worker;
  Incarnation incarnation;

  friend bool operator==(const Release&, const Release&) = default;
};

using Action =
    std::variant<Claim, ChangeGrant, Evict, RefuseJob, Quarantine, Release>;

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_ACTION_H_
