#ifndef PAPAYADRIFT_PLACEMENT_DECISION_H_
#define PAPAYADRIFT_PLACEMENT_DECISION_H_

// The last decision of the scheduler about a task, with its reason.

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
  kNoWorkerFits,        // No sampled worker has capacity for the grant.
  kServicesNearTarget,  // Capacity only next to services close to their target.
  kTeamOverQuota,       // Quota used up while the region is cut off.
  kClaimRejected,
  kCapacityReserved,  // Capacity is held for it while other tasks end.
  kPreempting,        // Preempted tasks are stopping.
  kRetryBackoff,      // Retry delay after a failed attempt.
  kHarmsServices,  // Capacity only where the harm to services exceeds the value
                   // of the work.
  kDomainsFull,    // Capacity only in domains at the job's task limit.
  kKindsApart,  // Capacity only on workers with kinds that it must not share a
                // worker with.
};

enum class PlacementReason {
  kLeastCost,    // Lowest expected cost of the workers examined.
  kTightestFit,  // Least capacity left over; ignores interference.
  kUrgent,       // Urgent tasks ignore the limits of services.
  kProbe,        // Tests whether a quarantined worker has recovered.
  kReserved,     // Capacity was held for it while other tasks ended.
  kMoved,        // A service on its last worker was above its target.
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
  kUsesLess,            // Reports show lower use; frees the rest.
  kUsesMore,            // Reports show that the grant limits the task.
  kServiceAboveTarget,  // Throttled for a service on the worker.
  kServiceRecovered,    // The throttle is lifted.
  kUrgentWork,          // Throttled to free capacity for urgent work.
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
  double cost = 0;      // Of this worker, in units of Score::cost.
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
  microseconds lost{0};  // Estimate of the work that is repeated.
  WorkerId moves_to;     // Worker that holds capacity; empty if none.

  friend bool operator==(const Evicted&, const Evicted&) = default;
};

struct Refused {
  RefusalReason reason = RefusalReason::kJobFitsNowhere;

  friend bool operator==(const Refused&, const Refused&) = default;
};

using Decision =
    std::variant<NotDecided, Waiting, Placed, GrantAdjusted, Evicted, Refused>;

// Returns a full sentence for operators.
std::string ToText(const Decision& decision);

}  // namespace papayadrift::placement

#endif  // PAPAYADRIFT_PLACEMENT_DECISION_H_
