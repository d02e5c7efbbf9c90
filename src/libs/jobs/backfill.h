#ifndef PAPAYADRIFT_JOBS_BACKFILL_H_
#define PAPAYADRIFT_JOBS_BACKFILL_H_

#include <cstdint>
#include <limits>

#include "base/instant.h"
#include "base/resources.h"
#include "jobs/job.h"

// Decides which work may use a runner that is reserved for a large task.
// Answers fleets on which long-running tasks request nearly all processors,
// while short tasks, and the memory of fillers, take each piece of a large
// place as it becomes free: large tasks would wait without an end.

namespace papayadrift::jobs {

// A runner's capacity that is kept for one task of a step from `due` on.
struct CapacityReservation {
  TaskKey step;           // As by StepOf().
  Resources need;         // Of one of its tasks.
  uint32_t priority = 0;  // Of its queue; 0 is the highest.
  Instant made_at;
  // When the task was expected to fit. Moves only forward: runs that take
  // longer than expected don't admit others that would take as long.
  Instant due;
  // What the task leaves of the capacity that is free at that time, as
  // expected; negative amounts are missing for it.
  Resources spare;
  Instant latest;      // Urgent work may run until then.
  Instant expires_at;  // Given up from then on.

  friend bool operator==(const CapacityReservation&,
                         const CapacityReservation&) = default;
};

// What matters of a task that is to be placed. The defaults are those of work
// that may be held back by any reservation.
struct BackfillClaim {
  uint32_t priority = std::numeric_limits<uint32_t>::max();
  // Expected duration; 0: it doesn't end, or is not known.
  milliseconds expected{0};
  // Short, and has found room nowhere else for a while.
  bool is_urgent = false;

  friend bool operator==(const BackfillClaim&, const BackfillClaim&) = default;
};

// Returns what a task of the step takes of a runner's capacity: fillers use
// only processors that others leave.
Resources ReservableNeed(const Step& step);

// Returns whether a task that needs `need` may start on the runner with the
// reservation.
bool MayUseReserved(const CapacityReservation& reservation,
                    const TaskKey& task,
                    const Resources& need,
                    const BackfillClaim& claim,
                    Instant now);

// Returns whether a task with this claim is held back wherever one with
// `held_back` is that needs no more.
bool IsHeldBackLike(const BackfillClaim& claim, const BackfillClaim& held_back);

// Takes a run that starts beside the reservation into account.
void OnBackfilled(CapacityReservation& reservation,
                  const Resources& need,
                  const BackfillClaim& claim,
                  Instant now);

}  // namespace papayadrift::jobs

#endif  // PAPAYADRIFT_JOBS_BACKFILL_H_
