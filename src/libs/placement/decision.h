#ifndef PAPAYADRIFT_PLACEMENT_DECISION_H_
#define PAPAYADRIFT_PLACEMENT_DECISION_H_

// Why a task is where it is: what the scheduler last decided about it.

#include <string>
#include <variant>

#include "base/identifiers.h"
#include "base/instant.h"
#include "base/refusal.h"
#include "base/resources.h"
#include "placement/event.h"

namespace papayadrift::placement {

enum class WaitReason {
  kNotTriedYet,
  kNoWorkerFits,        // No sampled worker has room for the grant.
  kServicesNearTarget,  // Room only beside services close to their target.
  kTeamOverQuota,       // Region cut off, or others are owed the room.
  kClaimRejected,
  kCapacityReserved,  // Room is kept for it as others end.
  kPreempting,        // Victims are stopping to make room.
  kRetryBackoff,      // The last attempt failed; a pause precedes the next.
  kHarmsServices,     // Room only where it harms services more than it is
                      // worth.
  kDomainsFull,       // Room only where its job already has its most tasks.
  kKindsApart,  // Room only beside kinds that it must not share a worker with.
};

enum class PlacementReason {
  kLeastCost,    // Least expected cost of the workers examined.
  kTightestFit,  // Least room left over; interference is not weighed.
  kUrgent,       // Urgent work takes the first room there is.
  kProbe,        // Shows whether a quarantined worker works again.
  kReserved,     // The room was kept for it while others ended.
  kMoved,        // A service at its last place was above its target.
};

enum class EvictionReason {
  kServiceAboveTarget,
  kUrgentWork,
  kQuotaReclaimed,
  kRunnerNeedsCapacity,
  kJobCancelled,
  kJobRefused,
};

enum class GrantReason {
  kUsesLess,            // Reports show less use; the rest is given to others.
  kUsesMore,            // Reports show that the grant holds the task back.
  kServiceAboveTarget,  // Throttled for a service on the worker.
  kServiceRecovered,    // The throttle is lifted.
  kUrgentWork,          // Throttled to make room for urgent work.
};

struct NotDecided {
  friend bool operator==(const NotDecided&, const NotDecided&) = default;
};

struct Waiting {
  WaitReason reason = WaitReason::kNotTriedYet;
  Instant since;

  friend bool operator==(const Waiting&, const Waiting&) = default;
};

struct Placed {
  PlacementReason reason = PlacementReason::kLeastCost;
  WorkerId worker;
  Resources grant;
  double cost = 0;      // Of this worker, in the unit of the score.
  double pressure = 0;  // Highest expected p99 of its services over target.
  int examined = 0;     // Workers examined.

  friend bool operator==(const Placed&, const Placed&) = default;
};

struct GrantAdjusted {
  GrantReason reason = GrantReason::kUsesLess;
  WorkerId worker;
  Resources grant;

  friend bool operator==(const GrantAdjusted&, const GrantAdjusted&) = default;
};

struct Evicted {
  EvictionReason reason = EvictionReason::kServiceAboveTarget;
  WorkerId worker;
  microseconds lost{0};  // Work that is done again, as far as is known.
  WorkerId moves_to;     // Where room is kept for it; empty when nowhere.

  friend bool operator==(const Evicted&, const Evicted&) = default;
};

struct Refused {
  RefusalReason reason = RefusalReason::kJobFitsNowhere;

  friend bool operator==(const Refused&, const Refused&) = default;
};

using Decision =
    std::variant<NotDecided, Waiting, Placed, GrantAdjusted, Evicted, Refused>;

// Returns a whole sentence for operators.
std::string ToText(const Decision& decision);

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_DECISION_H_
