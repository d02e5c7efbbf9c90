#include "jobs/backfill.h"

namespace papayadrift::jobs {
namespace {

bool EndsBy(Instant end, const BackfillClaim& claim, Instant now) {
  return claim.expected > milliseconds(0) && now + claim.expected <= end;
}

}  // namespace

Resources ReservableNeed(const Step& step) {
  Resources need = step.need;
  if (step.is_filler) {
    need.millicores = 0;
  }
  return need;
}

bool MayUseReserved(const CapacityReservation& reservation,
                    const TaskKey& task,
                    const Resources& need,
                    const BackfillClaim& claim,
                    Instant now) {
  return StepOf(task) == reservation.step ||
         claim.priority < reservation.priority ||
         EndsBy(reservation.due, claim, now) ||
         FitsIn(need, reservation.spare) ||
         (claim.is_urgent && claim.priority == reservation.priority &&
          EndsBy(reservation.latest, claim, now));
}

bool IsHeldBackLike(const BackfillClaim& claim,
                    const BackfillClaim& held_back) {
  const bool is_as_long = claim.expected == milliseconds(0) ||
                          (held_back.expected > milliseconds(0) &&
                           claim.expected >= held_back.expected);
  return claim.priority >= held_back.priority && is_as_long &&
         (!claim.is_urgent || held_back.is_urgent);
}

void OnBackfilled(CapacityReservation& reservation,
                  const Resources& need,
                  const BackfillClaim& claim,
                  Instant now) {
  if (!EndsBy(reservation.due, claim, now)) {
    reservation.spare = reservation.spare - need;
  }
}

}  // namespace papayadrift::jobs
